export {openCallerKeys, type CallerKeyTable} from './caller-key-table.js';
