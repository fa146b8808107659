export {checkHistory, RULES} from './check-history.js';
export {
  formatHistory,
  History,
  parseHistory,
  type AnsweredCall,
  type LinesOf,
} from './history.js';
export {
  HISTORY_LINE_SCHEMA,
  type Answer,
  type Call,
  type HistoryLine,
  type Run,
} from './history-line.js';
export type {Rule, Violation} from './rule.js';
