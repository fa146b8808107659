import type {EventKind} from './event-kind.js';

/** Events of attempts at an agent, 5xx. */
export const AGENT_EVENTS = {
  'attempt-received': {
    number: 500,
    level: 'debug',
    meaning: 'An attempt reached the agent.',
  },
  'attempt-forwarded': {
    number: 501,
    level: 'debug',
    meaning: 'An attempt was forwarded to the target with its adapter pinned.',
  },
  'attempt-ended': {
    number: 502,
    level: 'debug',
    meaning: 'The complete answer of the target was relayed.',
  },
  'attempt-refused': {
    number: 503,
    level: 'info',
    meaning: 'An attempt was refused before it reached the target.',
  },
  'attempt-failed': {
    number: 504,
    level: 'warn',
    meaning: 'An attempt failed after it was forwarded.',
  },
  'attempt-repeated': {
    number: 505,
    level: 'warn',
    meaning: 'An attempt arrived twice; the second copy was not run.',
  },
  'attempt-cancelled': {
    number: 506,
    level: 'info',
    meaning:
      'The entry disconnected or cancelled the attempt; unless the stream is held (510), the target was told to stop.',
  },
  'target-answer-crossed': {
    number: 507,
    level: 'warn',
    meaning:
      'An answer that belongs to another request, adapter or boot was dropped.',
  },
  'target-answer-torn': {
    number: 508,
    level: 'warn',
    meaning:
      'An answer broke off before its end and was relayed as incomplete.',
  },
  'attempt-stopped': {
    number: 509,
    level: 'debug',
    meaning: 'The target confirmed that an interrupted attempt has stopped.',
  },
  'stream-held': {
    number: 510,
    level: 'info',
    meaning:
      'A stream was interrupted; its run and its pin are kept so that it can be resumed.',
  },
  'stream-reopened': {
    number: 511,
    level: 'info',
    meaning:
      'A stream is read again from the event after the last one that its entry received.',
  },
  'resume-refused': {
    number: 512,
    level: 'warn',
    meaning: 'A stream can’t be resumed at this agent.',
  },
  'stream-released': {
    number: 513,
    level: 'info',
    meaning: 'A held stream was cancelled or not resumed in time.',
  },
  'digest-differs': {
    number: 514,
    level: 'warn',
    meaning:
      'The weights on the target differ from those of the version; they are loaded again.',
  },
  'prefetch-begun': {
    number: 515,
    level: 'info',
    meaning:
      'A new version of a loaded adapter is being loaded ahead of its first request.',
  },
} as const satisfies Record<string, EventKind>;
