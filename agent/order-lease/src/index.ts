export {
  OrderLease,
  type FenceGrantTiming,
  type OrderLeaseOptions,
} from './order-lease.js';
