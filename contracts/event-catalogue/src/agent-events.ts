import type {EventKind} from './event-kind.js';

/** Events of attempts at an agent, 5xx. */
export const AGENT_EVENTS = {
  'attempt-received': {
    number: 500,
    level: 'debug',
    meaning: 'An attempt has reached the agent.',
  },
  'attempt-forwarded': {
    number: 501,
    level: 'debug',
    meaning:
      'The agent forwards an attempt to the target; the adapter is pinned until the attempt ends.',
  },
  'attempt-ended': {
    number: 502,
    level: 'debug',
    meaning: 'The agent has relayed the complete response of the target.',
  },
  'attempt-refused': {
    number: 503,
    level: 'info',
    meaning:
      'The agent refuses an attempt (`reason`), or the target is unreachable or does not hold the adapter (`end`).',
  },
  'attempt-failed': {
    number: 504,
    level: 'warn',
    meaning:
      'An attempt has failed after it was forwarded; if `end` is `unknown`, it may still be running.',
  },
  'attempt-repeated': {
    number: 505,
    level: 'warn',
    meaning: 'An attempt has arrived twice; the second copy is not run.',
  },
  'attempt-cancelled': {
    number: 506,
    level: 'info',
    meaning:
      'The entry has disconnected or cancelled the attempt; unless the stream is held (510), the agent tells the target to stop.',
  },
  'target-answer-crossed': {
    number: 507,
    level: 'warn',
    meaning:
      'The agent drops a response of the target because it belongs to another request, adapter or boot.',
  },
  'target-answer-torn': {
    number: 508,
    level: 'warn',
    meaning:
      'A response of the target has broken off before its end and is relayed as incomplete.',
  },
  'attempt-stopped': {
    number: 509,
    level: 'debug',
    meaning: 'The target confirms that an interrupted attempt has stopped.',
  },
  'stream-held': {
    number: 510,
    level: 'info',
    meaning:
      'A stream is interrupted; the agent keeps its run and its pin for `boundMs` milliseconds so that it can be resumed.',
  },
  'stream-reopened': {
    number: 511,
    level: 'info',
    meaning:
      'An entry resumes a stream, which the agent reads again from the event after the last one that the entry received.',
  },
  'resume-refused': {
    number: 512,
    level: 'warn',
    meaning: 'A stream cannot be resumed at this agent.',
  },
  'stream-released': {
    number: 513,
    level: 'info',
    meaning:
      'A held stream was cancelled or not resumed in time; the agent tells the target to stop it.',
  },
  'digest-differs': {
    number: 514,
    level: 'warn',
    meaning:
      'The weights on the target differ from those of the version; the agent loads them again for a later request.',
  },
  'prefetch-begun': {
    number: 515,
    level: 'info',
    meaning:
      'The agent loads a new version of a loaded adapter ahead of its first request.',
  },
} as const satisfies Record<string, EventKind>;
