export {
  PermitManager,
  type PermitManagerOptions,
  type StorePolicy,
} from './permit-manager.js';
export {
  PermitQueue,
  type PermitQueueOptions,
  type PermitOutcome,
  type RequestedLoad,
} from './permit-queue.js';
