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
    meaning: 'The caller has its whole answer.',
  },
  'request-refused': {
    number: 403,
    level: 'info',
    meaning: 'The caller got a refusal.',
  },
  'request-torn': {
    number: 404,
    level: 'warn',
    meaning: 'An answer broke off after its first byte reached the caller.',
  },
  'request-cancelled': {
    number: 405,
    level: 'info',
    meaning: 'The caller went away before the answer was whole.',
  },
  'attempt-retried': {
    number: 406,
    level: 'info',
    meaning: 'A request is tried again at another target.',
  },
  'answer-replayed': {
    number: 407,
    level: 'info',
    meaning: 'A resend got the answer that was kept from the first run.',
  },
  'completion-lost': {
    number: 408,
    level: 'warn',
    meaning: 'Control did not take the end of a claimed request.',
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
    meaning: 'Requests still ran when the time for a shutdown was over.',
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
    meaning: 'A stream broke off and is opened again where it stood.',
  },
  'stream-resumed': {
    number: 431,
    level: 'info',
    meaning: 'A broken stream goes on at the event after the last one.',
  },
  'stream-torn': {
    number: 432,
    level: 'warn',
    meaning: 'A broken stream could not be resumed in time.',
  },
} as const satisfies Record<string, EventKind>;
