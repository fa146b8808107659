export {targetReport} from './target-report.js';
