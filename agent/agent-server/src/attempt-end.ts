import {Refusal} from '@marigoldspur/faults';
import type {RelayEnd} from './attempt-response.js';
import {notRunRefusal} from './not-run-refusal.js';

/**
 * How an attempt ended at the target. `unreached`: the connection to the target
 * was not established.
 */
export type AttemptEnd =
  RelayEnd | 'unreached' | 'not-held' | 'failed' | 'unknown';

const RETRY_AFTER_SECONDS = 1;

/** Ends after which the target is certain not to be running the attempt. */
const SETTLED_ENDS = new Set<AttemptEnd>([
  'whole',
  'unreached',
  'not-held',
  'failed',
]);

/** Whether the target is certain not to be running an attempt with this end. */
export function isSettled(end: AttemptEnd): boolean {
  return SETTLED_ENDS.has(end);
}

/**
 * Returns the end of an attempt whose connection to the target failed before a
 * response.
 */
export function endAfterConnectionError(
  hasConnected: boolean,
  isCancelled: boolean,
): AttemptEnd {
  if (!hasConnected) {
    return 'unreached';
  }
  return isCancelled ? 'cancelled' : 'unknown';
}

/** Returns the name of the event that reports an end. */
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

/** Creates a refusal of an attempt that may have run. */
export function unknownOutcomeRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('unknown', status, reason, message, RETRY_AFTER_SECONDS);
}

/**
 * Creates the refusal of an attempt whose connection to the target failed
 * before a response.
 */
export function connectionErrorRefusal(
  hasConnected: boolean,
  hasTimedOut: boolean,
  message: string,
): Refusal {
  if (!hasConnected) {
    return notRunRefusal(503, 'target_unreachable', message);
  }
  const text = 'the target did not respond before the deadline';
  return hasTimedOut
    ? unknownOutcomeRefusal(504, 'no_answer_in_time', text)
    : unknownOutcomeRefusal(502, 'target_broke_off', message);
}
