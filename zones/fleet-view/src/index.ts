export {FleetView, type FleetChange} from './fleet-view.js';
