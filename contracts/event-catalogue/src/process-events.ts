import type {EventKind} from './event-kind.js';

/** Events of the lifecycle of a process, 1xx. */
export const PROCESS_EVENTS = {
  'process-started': {
    number: 100,
    level: 'info',
    meaning: 'The process is ready to serve.',
  },
  'process-draining': {
    number: 101,
    level: 'info',
    meaning: 'The process takes no new work and finishes its running work.',
  },
  'process-stopped': {
    number: 102,
    level: 'info',
    meaning: 'The process finished its work and exits.',
  },
  'insecure-loopback': {
    number: 104,
    level: 'warn',
    meaning:
      'No keys are configured, so the process serves plain HTTP, on loopback or a trusted network only.',
  },
  'keys-reloaded': {
    number: 105,
    level: 'info',
    meaning: 'A key file changed and its new content is used.',
  },
  'keys-rejected': {
    number: 106,
    level: 'warn',
    meaning:
      'A key file changed and is malformed; its last valid content stays in use.',
  },
} as const satisfies Record<string, EventKind>;
