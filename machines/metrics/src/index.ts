export {processMetrics, type ProcessMetrics} from './process-metrics.js';
