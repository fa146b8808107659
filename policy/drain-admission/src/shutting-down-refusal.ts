import {Refusal} from '@marigoldspur/faults';

/**
 * Retry delay for callers during a shutdown, in seconds; another entry can
 * serve the caller immediately.
 */
const SHUTDOWN_RETRY_AFTER_SECONDS = 0.05;

/** The refusal of a call that an entry does not send because it shuts down. */
export function createShuttingDownRefusal(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'shutting_down',
    'the entry is shutting down',
    SHUTDOWN_RETRY_AFTER_SECONDS,
  );
}
