import type {EventKind} from './event-kind.js';

/** Events of control, 2xx. */
export const CONTROL_EVENTS = {
  'change-accepted': {
    number: 200,
    level: 'info',
    meaning: 'Control has committed a settings change.',
  },
  'change-rejected': {
    number: 201,
    level: 'info',
    meaning:
      'Control rejects a settings change because its number is not the next revision (`conflict`) or its content is invalid (`invalid`).',
  },
  'settings-in-force': {
    number: 202,
    level: 'info',
    meaning: 'A settings revision is in force in this process.',
  },
  'claim-taken': {
    number: 210,
    level: 'info',
    meaning:
      'A request that must not run twice has claimed its idempotency key.',
  },
  'claim-refused': {
    number: 211,
    level: 'info',
    meaning:
      'A claim of an idempotency key is refused; `outcome` tells the state of the key, or `full` if no more keys can be stored.',
  },
  'permit-granted': {
    number: 220,
    level: 'info',
    meaning:
      'Control grants an agent a permit to load an adapter from a weight store.',
  },
  'log-opened': {
    number: 230,
    level: 'info',
    meaning: 'The replica has opened its copy of the replicated log.',
  },
  'log-tail-cut': {
    number: 231,
    level: 'warn',
    meaning:
      'The end of the log contains a write that a power loss left incomplete; the replica truncates it.',
  },
  'log-corrupt': {
    number: 232,
    level: 'error',
    meaning:
      'The files of the log are damaged or missing, so the replica sets them aside (248), or another version of the program wrote them, so the process does not start.',
  },
  'log-write-failed': {
    number: 233,
    level: 'error',
    meaning:
      'A write to the log failed in a way that leaves the content of the disk unknown, so the process exits.',
  },
  'disk-full': {
    number: 234,
    level: 'warn',
    meaning:
      'The disk of the replica is full, so it stores no log entries until space is free; a leader refuses changes and asks another voter to become the leader.',
  },
  'disk-has-room': {
    number: 235,
    level: 'info',
    meaning: 'The disk of the replica has free space again.',
  },
  'log-removal-failed': {
    number: 249,
    level: 'warn',
    meaning:
      'The replica could not remove files of the log that it does not need any more, or a temporary file; it tries again later.',
  },
  'leadership-won': {
    number: 236,
    level: 'info',
    meaning: 'This replica has become the leader of its group.',
  },
  'leadership-lost': {
    number: 237,
    level: 'warn',
    meaning: 'This replica is no longer the leader of its group.',
  },
  'leader-followed': {
    number: 238,
    level: 'info',
    meaning:
      'This replica follows a new leader, or the same leader in a new term.',
  },
  'group-formed': {
    number: 239,
    level: 'info',
    meaning: 'This replica has formed a new group of replicas.',
  },
  'group-awaited': {
    number: 240,
    level: 'warn',
    meaning:
      'The replica belongs to no group yet and waits to be added to one.',
  },
  'learner-added': {
    number: 241,
    level: 'info',
    meaning:
      'The group has added a replica as a learner, which receives the log but does not count in majorities yet.',
  },
  'voter-removed': {
    number: 242,
    level: 'warn',
    meaning: 'A replica is no longer a voter and does not count in majorities.',
  },
  'voter-added': {
    number: 243,
    level: 'info',
    meaning: 'A replica has become a voter and counts in majorities.',
  },
  'replica-repaired': {
    number: 244,
    level: 'info',
    meaning:
      'A new voter has synced every committed log entry, so the repair is complete. Each replica records this when it applies that log entry, and again after a restart; `index` identifies the repair.',
  },
  'snapshot-saved': {
    number: 245,
    level: 'info',
    meaning:
      'The replica has saved a snapshot of its state, which replaces older log entries.',
  },
  'snapshot-installed': {
    number: 246,
    level: 'info',
    meaning:
      'The replica has replaced its state with a snapshot from the leader.',
  },
  'leadership-handed-over': {
    number: 247,
    level: 'info',
    meaning:
      'The leader is shutting down and asks another voter to become the leader.',
  },
  'log-set-aside': {
    number: 248,
    level: 'error',
    meaning:
      'The replica has renamed its damaged files to `*.damaged` and starts empty, under a new ID. It forms no group and waits to be added to its own; if a majority waits, the group needs its operators.',
  },
  'disk-failed': {
    number: 251,
    level: 'error',
    meaning:
      'The disk of the replica fails, or the process has no more file descriptors (`reason`), so it stores no log entries and tries again; a leader refuses changes and asks another voter to become the leader.',
  },
  'disk-recovered': {
    number: 252,
    level: 'info',
    meaning: 'The disk of the replica works again.',
  },
  'claims-lost': {
    number: 250,
    level: 'warn',
    meaning:
      'An entry that holds running claims is gone; the outcome of these claims is unknown.',
  },
} as const satisfies Record<string, EventKind>;
