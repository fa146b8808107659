export {OrderLease, type OrderLeaseOptions} from './order-lease.js';
