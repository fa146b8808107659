export {chooseBackend, RouteTable} from './route-table.js';
