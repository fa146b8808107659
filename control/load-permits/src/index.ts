export {PermitDesk, type PermitDeskOptions} from './permit-desk.js';
export {
  PermitQueue,
  type PermitQueueOptions,
  type PermitUse,
  type WantedLoad,
} from './permit-queue.js';
