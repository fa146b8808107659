import {Refusal} from '@marigoldspur/faults';

const RETRY_SOON_SECONDS = 1;

/** A refusal of an attempt that has provably not reached the target. */
export function notRunRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('not-run', status, reason, message, RETRY_SOON_SECONDS);
}
