import type {EventKind} from './event-kind.js';

/** Events of control, 2xx. */
export const CONTROL_EVENTS = {
  'change-accepted': {
    number: 200,
    level: 'info',
    meaning: 'A settings change was committed.',
  },
  'change-rejected': {
    number: 201,
    level: 'info',
    meaning: 'A settings change was rejected.',
  },
  'settings-in-force': {
    number: 202,
    level: 'info',
    meaning: 'A settings revision is in force in this process.',
  },
  'claim-taken': {
    number: 210,
    level: 'info',
    meaning: 'A request that may not be repeated was claimed.',
  },
  'claim-refused': {
    number: 211,
    level: 'info',
    meaning: 'A claim was refused because its key is taken.',
  },
  'permit-granted': {
    number: 220,
    level: 'info',
    meaning: 'A permit to load from the weight store was granted.',
  },
  'log-opened': {
    number: 230,
    level: 'info',
    meaning: 'The replicated log was opened.',
  },
  'log-tail-cut': {
    number: 231,
    level: 'warn',
    meaning:
      'A write that a power loss left incomplete was truncated from the end of the log.',
  },
  'log-corrupt': {
    number: 232,
    level: 'error',
    meaning: 'The files of the log are damaged, so the process does not start.',
  },
  'log-write-failed': {
    number: 233,
    level: 'error',
    meaning: 'A synced write failed, so the process ends.',
  },
  'disk-full': {
    number: 234,
    level: 'warn',
    meaning: 'The disk is full; changes are refused until space is free.',
  },
  'disk-has-room': {
    number: 235,
    level: 'info',
    meaning: 'The disk has free space again.',
  },
  'leadership-won': {
    number: 236,
    level: 'info',
    meaning: 'This replica became the leader of its group.',
  },
  'leadership-lost': {
    number: 237,
    level: 'warn',
    meaning: 'This replica is no longer the leader of its group.',
  },
  'leader-followed': {
    number: 238,
    level: 'info',
    meaning: 'This replica follows a leader.',
  },
  'group-formed': {
    number: 239,
    level: 'info',
    meaning: 'A new group of replicas was formed.',
  },
  'group-awaited': {
    number: 240,
    level: 'warn',
    meaning: 'The replica belongs to no group yet and waits to be added.',
  },
  'learner-added': {
    number: 241,
    level: 'info',
    meaning:
      'A replica was added as a learner; it receives the log but does not count in majorities yet.',
  },
  'voter-removed': {
    number: 242,
    level: 'warn',
    meaning: 'A replica is no longer a voter and does not count in majorities.',
  },
  'voter-added': {
    number: 243,
    level: 'info',
    meaning: 'A replica became a voter and counts in majorities.',
  },
  'replica-repaired': {
    number: 244,
    level: 'info',
    meaning:
      'A new voter has synced every committed entry, so the repair is complete. Each replica records this when it applies that log entry, and again after a restart; `index` identifies the repair.',
  },
  'snapshot-saved': {
    number: 245,
    level: 'info',
    meaning: 'A snapshot was saved and the log entries before it were dropped.',
  },
  'snapshot-installed': {
    number: 246,
    level: 'info',
    meaning: 'A snapshot from the leader was installed.',
  },
  'leadership-handed-over': {
    number: 247,
    level: 'info',
    meaning: 'The draining leader asked another voter to become the leader.',
  },
  'claims-lost': {
    number: 250,
    level: 'warn',
    meaning:
      'An entry with running claims was lost; the outcome of these claims is unknown.',
  },
} as const satisfies Record<string, EventKind>;
