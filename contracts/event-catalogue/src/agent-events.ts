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
    meaning: 'An attempt was forwarded to the target under a pin.',
  },
  'attempt-ended': {
    number: 502,
    level: 'debug',
    meaning: 'The target’s answer was relayed whole.',
  },
  'attempt-refused': {
    number: 503,
    level: 'info',
    meaning: 'An attempt was refused before it reached the target.',
  },
  'attempt-failed': {
    number: 504,
    level: 'warn',
    meaning: 'An attempt broke off after it was forwarded.',
  },
  'attempt-repeated': {
    number: 505,
    level: 'warn',
    meaning: 'An attempt came twice; its second copy was not run.',
  },
  'attempt-cancelled': {
    number: 506,
    level: 'info',
    meaning:
      'The entry went away or cancelled; unless the stream is held (510), the target was told to stop.',
  },
  'target-answer-crossed': {
    number: 507,
    level: 'warn',
    meaning: 'An answer of another request, adapter or boot was dropped.',
  },
  'target-answer-torn': {
    number: 508,
    level: 'warn',
    meaning: 'An answer lacked its end and was not ended cleanly.',
  },
  'attempt-stopped': {
    number: 509,
    level: 'debug',
    meaning: 'The target confirmed that a broken-off attempt has stopped.',
  },
  'stream-held': {
    number: 510,
    level: 'info',
    meaning: 'A stream broke off; its run and its pin stay for a resume.',
  },
  'stream-reopened': {
    number: 511,
    level: 'info',
    meaning: 'A stream is read again after the last event of its entry.',
  },
  'resume-refused': {
    number: 512,
    level: 'warn',
    meaning: 'A stream can’t be resumed here.',
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
      'The target holds other weights than the version names; they are loaded anew.',
  },
  'prefetch-begun': {
    number: 515,
    level: 'info',
    meaning:
      'A new version of an adapter that the engine holds is loaded ahead of its first request.',
  },
} as const satisfies Record<string, EventKind>;
