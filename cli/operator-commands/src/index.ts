export {openSession, type OperatorSession} from './operator-session.js';
export {mergedTimeline, formatEvent} from './timeline.js';
export {readTreeFile} from './read-tree-file.js';
export {submitChange} from './submit-change.js';
export {systemStatus, type ProcessRow} from './system-status.js';
export {formatTable} from './format-table.js';
