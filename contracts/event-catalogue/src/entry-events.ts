import type {EventKind} from './event-kind.js';

/** Events of requests at an entry, 4xx. */
export const ENTRY_EVENTS = {
  'request-received': {
    number: 400,
    level: 'debug',
    meaning: 'A caller’s request was read.',
  },
  'request-dispatched': {
    number: 401,
    level: 'debug',
    meaning: 'An attempt was sent to a target.',
  },
  'request-answered': {
    number: 402,
    level: 'debug',
    meaning: 'The caller has received the complete answer.',
  },
  'request-refused': {
    number: 403,
    level: 'info',
    meaning: 'The request of a caller was refused.',
  },
  'request-torn': {
    number: 404,
    level: 'warn',
    meaning: 'An answer broke off after its first byte reached the caller.',
  },
  'request-cancelled': {
    number: 405,
    level: 'info',
    meaning: 'The caller disconnected before the answer was complete.',
  },
  'attempt-retried': {
    number: 406,
    level: 'info',
    meaning: 'A request is retried at another target.',
  },
  'answer-replayed': {
    number: 407,
    level: 'info',
    meaning: 'A repeated request got the stored answer of its first run.',
  },
  'completion-lost': {
    number: 408,
    level: 'warn',
    meaning: 'Control did not record the completion of a claimed request.',
  },
  'answer-crossed': {
    number: 409,
    level: 'warn',
    meaning: 'An answer to another request was dropped.',
  },
  'request-error': {
    number: 410,
    level: 'error',
    meaning: 'Serving a request failed inside the entry.',
  },
  'shutdown-bound-reached': {
    number: 411,
    level: 'warn',
    meaning:
      'Requests were still running when the time limit of a shutdown expired.',
  },
  'target-suspected': {
    number: 412,
    level: 'warn',
    meaning: 'A target gets no work from this entry until it answers again.',
  },
  'target-trusted': {
    number: 413,
    level: 'info',
    meaning: 'A suspected target answered and gets work again.',
  },
  'stream-broken': {
    number: 430,
    level: 'warn',
    meaning: 'A stream was interrupted and is reopened after its last event.',
  },
  'stream-resumed': {
    number: 431,
    level: 'info',
    meaning:
      'An interrupted stream continues with the event after the last one.',
  },
  'stream-torn': {
    number: 432,
    level: 'warn',
    meaning: 'An interrupted stream could not be resumed in time.',
  },
} as const satisfies Record<string, EventKind>;
