import type {EventKind} from './event-kind.js';

/** Events of adapter loads and of the target behind an agent, 6xx. */
export const LOAD_EVENTS = {
  'load-ordered': {
    number: 600,
    level: 'info',
    meaning: 'The agent orders the target to load an adapter.',
  },
  'load-finished': {
    number: 601,
    level: 'info',
    meaning: 'The target has loaded the adapter.',
  },
  'load-failed': {
    number: 602,
    level: 'warn',
    meaning: 'The load of an adapter has failed.',
  },
  'adapter-evicted': {
    number: 603,
    level: 'info',
    meaning: 'The target has unloaded an adapter to free its slot.',
  },
  'target-restarted': {
    number: 604,
    level: 'warn',
    meaning:
      'The target reports another boot ID because it has restarted; the agent reads its slots again.',
  },
  'load-backed-off': {
    number: 605,
    level: 'info',
    meaning: 'A load has failed and is not retried for `pauseMs` milliseconds.',
  },
  'load-dropped': {
    number: 606,
    level: 'info',
    meaning:
      'A queued load that no request waits for any more is dropped before it starts.',
  },
  'order-unclear': {
    number: 607,
    level: 'warn',
    meaning:
      'The response to an order is lost, so the agent reads the state of the target to learn its outcome.',
  },
  'orders-held': {
    number: 608,
    level: 'warn',
    meaning:
      'The agent sends no orders because control has not confirmed its lease or, if `revoked` is true, because a newer agent has taken over the target.',
  },
  'orders-taken-over': {
    number: 609,
    level: 'info',
    meaning:
      'The agent has taken over the target, because no earlier agent of the target can send it orders any more.',
  },
  'loads-isolated': {
    number: 610,
    level: 'warn',
    meaning:
      'Control is unreachable, so loads are limited to this agent’s share of the load rate, `--isolated-loads-per-second`.',
  },
  'adapter-distrusted': {
    number: 611,
    level: 'warn',
    meaning:
      'The target lists an adapter that it does not serve, or that has other weights than its version; the agent loads it again before it is used.',
  },
  'slots-differ': {
    number: 612,
    level: 'warn',
    meaning:
      'The target has refused a load although it reports a free slot; the agent now uses only `slots` slots.',
  },
  'permit-refused': {
    number: 650,
    level: 'info',
    meaning:
      'Control refuses a permit to load an adapter because the load would end too late.',
  },
  'load-refused': {
    number: 651,
    level: 'info',
    meaning:
      'The requests that wait for a load are refused because the load would end too late.',
  },
  'cache-events-missed': {
    number: 670,
    level: 'debug',
    meaning:
      'Events of the target’s prefix cache were lost before they reached the agent.',
  },
  'cached-prefixes-forgotten': {
    number: 671,
    level: 'debug',
    meaning:
      'The target has restarted or cleared its prefix cache, so the agent discards what it knew about the cache.',
  },
  'attempt-delayed': {
    number: 690,
    level: 'info',
    meaning:
      'An attempt arrives late, so its entry may have given it up; the agent waits briefly for the connection to close.',
  },
} as const satisfies Record<string, EventKind>;
