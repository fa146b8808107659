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
    meaning: 'A replica of control answered a named version of an adapter.',
  },
  'target-announced': {
    number: 702,
    level: 'info',
    meaning: 'A target announced itself anew or otherwise than before.',
  },
  'target-ended': {
    number: 703,
    level: 'info',
    meaning: 'A target said that it ends.',
  },
  'target-silent': {
    number: 704,
    level: 'warn',
    meaning: 'A target has not announced itself for a while.',
  },
  'deployment-in-force': {
    number: 705,
    level: 'info',
    meaning: 'A deployment is in force in this process.',
  },
  'version-in-force': {
    number: 706,
    level: 'info',
    meaning: 'A named version of an adapter is in force in this process.',
  },
  'fleet-followed': {
    number: 707,
    level: 'info',
    meaning: 'A replica of control told everything that it knows.',
  },
  'fleet-lost': {
    number: 708,
    level: 'warn',
    meaning: 'The stream from a replica of control broke or fell silent.',
  },
  'announcement-rejected': {
    number: 709,
    level: 'warn',
    meaning: 'An announcement of a target could not be read and was rejected.',
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
    meaning: 'A call got the whole answer of a target.',
  },
  'call-torn': {
    number: 723,
    level: 'warn',
    meaning: 'An answer broke off after it had begun.',
  },
  'call-cancelled': {
    number: 724,
    level: 'info',
    meaning: 'The caller went away before the answer had ended.',
  },
  'call-attempt-failed': {
    number: 725,
    level: 'info',
    meaning: 'A target did not serve a call that was sent to it.',
  },
  'call-resumed': {
    number: 726,
    level: 'info',
    meaning: 'A stream that broke off goes on at another target.',
  },
  'adapter-awaited': {
    number: 727,
    level: 'debug',
    meaning: 'A call waits for an adapter that its target is to load.',
  },
  'target-suspected': {
    number: 728,
    level: 'warn',
    meaning: 'A target failed so that it gets no work until it answers again.',
  },
  'engine-found': {
    number: 740,
    level: 'info',
    meaning: 'The agent reads the state of an engine that started anew.',
  },
  'engine-lost': {
    number: 741,
    level: 'warn',
    meaning: 'The agent can no longer read the state of its engine.',
  },
  'order-given': {
    number: 742,
    level: 'info',
    meaning: 'An engine took an order to load or to drop an adapter.',
  },
  'order-failed': {
    number: 743,
    level: 'warn',
    meaning: 'An engine refused an order, or its answer was lost.',
  },
  'adapter-ready': {
    number: 744,
    level: 'info',
    meaning: 'An engine holds an adapter that was waited for.',
  },
  'fence-granted': {
    number: 745,
    level: 'info',
    meaning: 'The agent has a fencing number for its orders.',
  },
  'fence-awaited': {
    number: 746,
    level: 'warn',
    meaning: 'Control gave the agent no fencing number; it asks again.',
  },
  'lines-dropped': {
    number: 790,
    level: 'warn',
    meaning:
      'Log lines were dropped since they came faster than they are read.',
  },
} as const satisfies Record<string, EventKind>;
