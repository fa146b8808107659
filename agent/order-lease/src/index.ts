export {
  OrderLease,
  type FenceGranted,
  type OrderLeaseOptions,
} from './order-lease.js';
