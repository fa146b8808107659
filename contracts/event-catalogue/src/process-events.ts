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
    meaning: 'The process has finished its work and exits.',
  },
  'insecure-loopback': {
    number: 104,
    level: 'warn',
    meaning:
      'No TLS files are configured, so the process serves plain HTTP, which is allowed only on loopback or a trusted network.',
  },
  'keys-reloaded': {
    number: 105,
    level: 'info',
    meaning:
      'A file of keys, tokens or certificates has changed and its new content is in use.',
  },
  'keys-rejected': {
    number: 106,
    level: 'warn',
    meaning:
      'A file of keys, tokens or certificates has changed and its new content is invalid; the last valid content stays in use.',
  },
  'process-crashed': {
    number: 107,
    level: 'error',
    meaning:
      'An error that no request, connection or stream confines ends the process; `stack` says where it arose.',
  },
  'buffers-full': {
    number: 108,
    level: 'warn',
    meaning:
      'The process lacks the memory to buffer `bytes` more of a `kind` and refuses them, the first time since it had room.',
  },
  'buffers-freed': {
    number: 109,
    level: 'info',
    meaning:
      'The process has room again to buffer what it refused `refusals` times.',
  },
  'port-awaited': {
    number: 110,
    level: 'warn',
    meaning:
      'The process cannot listen at `address` yet, for example because another socket uses the port, and tries again until it can; recorded once a minute meanwhile.',
  },
  'port-opened': {
    number: 111,
    level: 'info',
    meaning: 'The process listens at an address for which it has waited.',
  },
  'accept-failed': {
    number: 112,
    level: 'warn',
    meaning:
      'The process could not accept a connection at `address`; it goes on listening.',
  },
  'connections-limited': {
    number: 114,
    level: 'warn',
    meaning:
      'A limit closes connections to a listener (`listener`); `limit` tells which: their number (`connections`, where those without a complete request give way first), their requests without a response (`pipelined`), the memory for the headers of requests (`headers`), or bodies in far too many and too small chunks (`chunks`). Recorded once for a spell.',
  },
  'connections-full': {
    number: 113,
    level: 'warn',
    meaning:
      'Callers have as many connections as the memory and the file descriptors of the entry allow; for further ones those without a complete request are closed first.',
  },
} as const satisfies Record<string, EventKind>;
