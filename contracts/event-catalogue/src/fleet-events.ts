import type {EventKind} from './event-kind.js';

/** Events of deployments and of targets that announce themselves, 7xx. */
export const FLEET_EVENTS = {
  'deployment-answered': {
    number: 700,
    level: 'info',
    meaning:
      'A replica of control answered a deployment that an operator sent.',
  },
  'version-answered': {
    number: 701,
    level: 'info',
    meaning:
      'A replica of control answered an operator who named a new version of an adapter.',
  },
  'target-announced': {
    number: 702,
    level: 'info',
    meaning: 'The announcement of a target is new or has changed.',
  },
  'target-ended': {
    number: 703,
    level: 'info',
    meaning: 'A target deregistered.',
  },
  'target-silent': {
    number: 704,
    level: 'warn',
    meaning: 'A target has stopped announcing itself.',
  },
  'deployment-in-force': {
    number: 705,
    level: 'info',
    meaning: 'A deployment is in force in this process.',
  },
  'version-in-force': {
    number: 706,
    level: 'info',
    meaning:
      'A version of an adapter that an operator named is in force in this process.',
  },
  'fleet-followed': {
    number: 707,
    level: 'info',
    meaning: 'A replica of control sent its whole fleet state.',
  },
  'fleet-lost': {
    number: 708,
    level: 'warn',
    meaning: 'The stream from a replica of control broke or timed out.',
  },
  'announcement-rejected': {
    number: 709,
    level: 'warn',
    meaning:
      'An announcement of a target could not be parsed and was rejected.',
  },
  'deployment-rejected': {
    number: 710,
    level: 'warn',
    meaning: 'A deployment was invalid and was rejected.',
  },
  'settings-file-changed': {
    number: 711,
    level: 'info',
    meaning: 'The settings file changed and its new content is in force.',
  },
  'settings-file-rejected': {
    number: 712,
    level: 'warn',
    meaning:
      'The settings file changed and its new content is invalid; the old one stays in force.',
  },
  'call-refused': {
    number: 720,
    level: 'info',
    meaning: 'A call was refused by the entry.',
  },
  'call-sent': {
    number: 721,
    level: 'debug',
    meaning: 'A call was sent to a target.',
  },
  'call-answered': {
    number: 722,
    level: 'info',
    meaning: 'A call received the complete answer of a target.',
  },
  'call-torn': {
    number: 723,
    level: 'warn',
    meaning: 'An answer broke off after it had started.',
  },
  'call-cancelled': {
    number: 724,
    level: 'info',
    meaning: 'The caller disconnected before the answer was complete.',
  },
  'call-attempt-failed': {
    number: 725,
    level: 'info',
    meaning: 'A target did not serve a call that was sent to it.',
  },
  'call-resumed': {
    number: 726,
    level: 'info',
    meaning: 'An interrupted stream continues at another target.',
  },
  'adapter-awaited': {
    number: 727,
    level: 'debug',
    meaning: 'A call waits until its target has loaded an adapter.',
  },
  'target-suspected': {
    number: 728,
    level: 'warn',
    meaning: 'A target failed and gets no work until it answers again.',
  },
  'engine-found': {
    number: 740,
    level: 'info',
    meaning: 'The agent reads the state of a newly started engine.',
  },
  'engine-lost': {
    number: 741,
    level: 'warn',
    meaning: 'The agent can no longer read the state of its engine.',
  },
  'order-given': {
    number: 742,
    level: 'info',
    meaning: 'An engine accepted an order to load or unload an adapter.',
  },
  'order-failed': {
    number: 743,
    level: 'warn',
    meaning: 'An engine refused an order, or its answer was lost.',
  },
  'adapter-ready': {
    number: 744,
    level: 'info',
    meaning: 'An engine has loaded an adapter that calls waited for.',
  },
  'fence-granted': {
    number: 745,
    level: 'info',
    meaning: 'The agent received a fencing number for its orders.',
  },
  'fence-awaited': {
    number: 746,
    level: 'warn',
    meaning:
      'Control granted the agent no fencing number; the agent asks again.',
  },
  'lines-dropped': {
    number: 790,
    level: 'warn',
    meaning:
      'Log lines were dropped because they were written faster than they are read.',
  },
} as const satisfies Record<string, EventKind>;
