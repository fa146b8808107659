import type {EventKind} from './event-kind.js';

/** Events of members and of the streams that follow control, 3xx. */
export const MEMBER_EVENTS = {
  'member-joined': {
    number: 300,
    level: 'info',
    meaning: 'A process or target announced itself.',
  },
  'member-leaving': {
    number: 301,
    level: 'info',
    meaning: 'A process or target takes no new work.',
  },
  'member-expired': {
    number: 302,
    level: 'warn',
    meaning: 'The lease of a process or target expired.',
  },
  'member-fenced': {
    number: 303,
    level: 'warn',
    meaning:
      'An agent lost its target to an agent with a newer fencing number.',
  },
  'members-settled': {
    number: 304,
    level: 'info',
    meaning: 'The member table of a new leader is considered complete.',
  },
  'stream-lost': {
    number: 305,
    level: 'warn',
    meaning: 'The stream from a replica of control timed out or broke.',
  },
  'settings-pulled': {
    number: 306,
    level: 'info',
    meaning: 'Settings were pulled from a process with a newer revision.',
  },
} as const satisfies Record<string, EventKind>;
