export {createLoadReport, createTargetReport} from './target-report.js';
