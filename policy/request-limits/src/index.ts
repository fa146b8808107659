export {
  PermitQueue,
  type PermitDecision,
  type PermitSeeker,
} from './permit-queue.js';
export {StatedLimits, type StatedLimit} from './stated-limits.js';
