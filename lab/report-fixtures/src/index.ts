export {loadReport, targetReport} from './target-report.js';
