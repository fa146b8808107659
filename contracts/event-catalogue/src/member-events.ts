import type {EventKind} from './event-kind.js';

/** Events of members and of the streams that follow control, 3xx. */
export const MEMBER_EVENTS = {
  'member-joined': {
    number: 300,
    level: 'info',
    meaning:
      'A process announces itself to control, an agent together with its target.',
  },
  'member-leaving': {
    number: 301,
    level: 'info',
    meaning: 'A process, or the target of an agent, takes no new work.',
  },
  'member-expired': {
    number: 302,
    level: 'warn',
    meaning:
      'The lease of a process has expired because control received no heartbeat from it in time.',
  },
  'member-fenced': {
    number: 303,
    level: 'warn',
    meaning:
      'An agent has lost its target to an agent with a newer fencing number.',
  },
  'members-settled': {
    number: 304,
    level: 'info',
    meaning:
      'Every member has had the time of a lease to announce itself to the new leader, so its member table counts as complete.',
  },
  'stream-lost': {
    number: 305,
    level: 'warn',
    meaning:
      'A stream of settings or members from a replica of control has timed out, broken or delivered an invalid message; the process tries the next replica.',
  },
  'settings-pulled': {
    number: 306,
    level: 'info',
    meaning:
      'The process has fetched newer settings from another process, or from control if `url` is missing.',
  },
} as const satisfies Record<string, EventKind>;
