export {DemandTable, type DemandTableOptions} from './demand-table.js';
export {RateTable, type RateTableOptions} from './rate-table.js';
