export {DemandTable, type DemandTableOptions} from './demand-table.js';
