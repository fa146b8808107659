export {
  PermitDesk,
  type PermitDeskOptions,
  type StorePolicy,
} from './permit-desk.js';
export {
  PermitQueue,
  type PermitQueueOptions,
  type PermitUse,
  type WantedLoad,
} from './permit-queue.js';
