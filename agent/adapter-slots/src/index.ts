export {SlotTable, type Pin, type SlotReservation} from './slot-table.js';
