export {createProcessMetrics, type ProcessMetrics} from './process-metrics.js';
