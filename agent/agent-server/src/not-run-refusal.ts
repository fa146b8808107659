import {Refusal} from '@marigoldspur/faults';

const RETRY_AFTER_SECONDS = 1;

/**
 * Creates a refusal of an attempt that has certainly not reached the target.
 */
export function notRunRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('not-run', status, reason, message, RETRY_AFTER_SECONDS);
}

/** Creates the refusal of an attempt whose target is leaving. */
export function targetLeavingRefusal(): Refusal {
  return notRunRefusal(503, 'target_leaving', 'the target is shutting down');
}
