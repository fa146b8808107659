import {Refusal} from '@marigoldspur/faults';
import type {RelayEnd} from './attempt-response.js';
import {notRunRefusal} from './not-run-refusal.js';

/** How an attempt ended at the target. `unreached`: nothing was sent. */
export type AttemptEnd =
  RelayEnd | 'unreached' | 'not-held' | 'failed' | 'unknown';

const RETRY_SOON_SECONDS = 1;

/** Ends after which the target certainly runs nothing of the attempt. */
const SETTLED_ENDS = new Set<AttemptEnd>([
  'whole',
  'unreached',
  'not-held',
  'failed',
]);

/** Whether the target certainly runs nothing of an attempt that ended like this. */
export function isSettled(end: AttemptEnd): boolean {
  return SETTLED_ENDS.has(end);
}

/** The end of an attempt whose link to the target broke before an answer. */
export function endAfterConnectionError(
  reached: boolean,
  cancelled: boolean,
): AttemptEnd {
  if (!reached) {
    return 'unreached';
  }
  return cancelled ? 'cancelled' : 'unknown';
}

/** The event that tells of an end. */
export function eventForEnd(end: AttemptEnd) {
  switch (end) {
    case 'whole':
      return 'attempt-ended';
    case 'cancelled':
      return 'attempt-cancelled';
    case 'crossed':
      return 'target-answer-crossed';
    case 'torn':
      return 'target-answer-torn';
    case 'unreached':
    case 'not-held':
      return 'attempt-refused';
    case 'failed':
    case 'unknown':
      return 'attempt-failed';
  }
}

/** A refusal of an attempt that may have run. */
export function unknownOutcomeRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('unknown', status, reason, message, RETRY_SOON_SECONDS);
}

/** The refusal of an attempt whose link to the target broke before an answer. */
export function connectionErrorRefusal(
  reached: boolean,
  late: boolean,
  message: string,
): Refusal {
  if (!reached) {
    return notRunRefusal(503, 'target_unreachable', message);
  }
  const text = 'the target did not answer in time';
  return late
    ? unknownOutcomeRefusal(504, 'no_answer_in_time', text)
    : unknownOutcomeRefusal(502, 'target_broke_off', message);
}
