import type {EventKind} from './event-kind.js';

/** Events of requests at an entry, 4xx. */
export const ENTRY_EVENTS = {
  'request-received': {
    number: 400,
    level: 'debug',
    meaning: 'The entry has read and accepted the request of a caller.',
  },
  'request-dispatched': {
    number: 401,
    level: 'debug',
    meaning: 'The entry sends an attempt of a request to a target.',
  },
  'request-answered': {
    number: 402,
    level: 'debug',
    meaning: 'The caller has received the complete response.',
  },
  'request-refused': {
    number: 403,
    level: 'info',
    meaning:
      'The entry refuses the request of a caller; `outcome` tells whether the request may have run.',
  },
  'request-torn': {
    number: 404,
    level: 'warn',
    meaning:
      'A response has broken off after its first bytes reached the caller.',
  },
  'request-cancelled': {
    number: 405,
    level: 'info',
    meaning: 'The caller has disconnected before the response was complete.',
  },
  'attempt-retried': {
    number: 406,
    level: 'info',
    meaning:
      'An attempt has failed and the entry retries the request at another target.',
  },
  'answer-replayed': {
    number: 407,
    level: 'info',
    meaning: 'A repeated request gets the stored response of its first run.',
  },
  'completion-lost': {
    number: 408,
    level: 'warn',
    meaning:
      'Control has not recorded the completion of a claimed request. The entry tries again for a limited time, unless `code` is `INVALID_INPUT`.',
  },
  'answer-crossed': {
    number: 409,
    level: 'warn',
    meaning:
      'The entry drops a response because it belongs to another request.',
  },
  'request-error': {
    number: 410,
    level: 'error',
    meaning:
      'Serving a request has failed because of an error inside the process.',
  },
  'shutdown-bound-reached': {
    number: 411,
    level: 'warn',
    meaning:
      'Requests are still running when the time limit of a shutdown expires.',
  },
  'target-suspected': {
    number: 412,
    level: 'warn',
    meaning:
      'A target has failed; this entry prefers other targets until it responds again or the suspicion decays.',
  },
  'target-trusted': {
    number: 413,
    level: 'info',
    meaning:
      'A suspected target has responded and gets work from this entry again.',
  },
  'stream-broken': {
    number: 430,
    level: 'warn',
    meaning:
      'The connection of a stream has broken; the entry tries to resume the stream after its last event.',
  },
  'stream-resumed': {
    number: 431,
    level: 'info',
    meaning:
      'An interrupted stream continues with the event after the last one that the entry received.',
  },
  'stream-torn': {
    number: 432,
    level: 'warn',
    meaning:
      'An interrupted stream could not be resumed in time and ends incomplete.',
  },
} as const satisfies Record<string, EventKind>;
