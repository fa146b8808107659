import type {EventKind} from './event-kind.js';

/** Events of adapter loads and of the target behind an agent, 6xx. */
export const LOAD_EVENTS = {
  'load-ordered': {
    number: 600,
    level: 'info',
    meaning: 'The target was ordered to load an adapter.',
  },
  'load-finished': {
    number: 601,
    level: 'info',
    meaning: 'The target has loaded the adapter.',
  },
  'load-failed': {
    number: 602,
    level: 'warn',
    meaning: 'A load failed.',
  },
  'adapter-evicted': {
    number: 603,
    level: 'info',
    meaning: 'An adapter was evicted from its slot.',
  },
  'target-restarted': {
    number: 604,
    level: 'warn',
    meaning: 'The target returned with another boot ID and empty slots.',
  },
  'load-backed-off': {
    number: 605,
    level: 'info',
    meaning: 'A failed load is not retried until its backoff is over.',
  },
  'load-dropped': {
    number: 606,
    level: 'info',
    meaning:
      'A queued load that no request waits for was dropped before it started.',
  },
  'order-unclear': {
    number: 607,
    level: 'warn',
    meaning:
      'The answer to an order was lost, so the agent reads the state of the target.',
  },
  'orders-held': {
    number: 608,
    level: 'warn',
    meaning: 'No orders are sent while the lease is not confirmed.',
  },
  'orders-taken-over': {
    number: 609,
    level: 'info',
    meaning:
      'The agent may order evictions because no earlier agent of the target can order them any more.',
  },
  'loads-isolated': {
    number: 610,
    level: 'warn',
    meaning:
      'Control is unreachable, so loads are limited to this agent’s share of the load rate.',
  },
  'adapter-distrusted': {
    number: 611,
    level: 'warn',
    meaning: 'The target lists an adapter that it does not serve.',
  },
  'slots-differ': {
    number: 612,
    level: 'warn',
    meaning: 'The target has fewer adapter slots than it reports.',
  },
  'permit-refused': {
    number: 650,
    level: 'info',
    meaning:
      'A permit to load was refused because the load would end too late.',
  },
  'load-refused': {
    number: 651,
    level: 'info',
    meaning:
      'The requests that waited for a load were refused because it would end too late.',
  },
  'cache-events-missed': {
    number: 670,
    level: 'debug',
    meaning: 'Events of the target’s prefix cache were missed.',
  },
  'cached-prefixes-forgotten': {
    number: 671,
    level: 'debug',
    meaning: 'The target restarted or cleared its prefix cache.',
  },
  'attempt-delayed': {
    number: 690,
    level: 'info',
    meaning:
      'An attempt arrived late, so its entry may have given it up; the agent waits briefly for the connection to close.',
  },
} as const satisfies Record<string, EventKind>;
