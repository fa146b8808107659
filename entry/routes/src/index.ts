export {backendOf, RouteTable} from './route-table.js';
