export {createLoadReport, createTargetReport} from './report-fixtures.js';
