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
    meaning: 'A claim was refused since its key is taken.',
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
    meaning: 'A write that power loss tore was cut off the end of the log.',
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
    meaning: 'The disk is full: changes are refused until there is room.',
  },
  'disk-has-room': {
    number: 235,
    level: 'info',
    meaning: 'The disk has room again.',
  },
  'leadership-won': {
    number: 236,
    level: 'info',
    meaning: 'This replica leads its group.',
  },
  'leadership-lost': {
    number: 237,
    level: 'warn',
    meaning: 'This replica leads its group no more.',
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
    meaning: 'A replica receives the log and does not count yet.',
  },
  'voter-removed': {
    number: 242,
    level: 'warn',
    meaning: 'A replica counts in majorities no more.',
  },
  'voter-added': {
    number: 243,
    level: 'info',
    meaning: 'A replica counts in majorities.',
  },
  'replica-repaired': {
    number: 244,
    level: 'info',
    meaning:
      'A new voter holds, synced, all that is committed: the repair is done. Each replica records it as it applies that entry of the log, again after a restart; `index` names the repair.',
  },
  'snapshot-saved': {
    number: 245,
    level: 'info',
    meaning: 'A snapshot was saved and the log before it dropped.',
  },
  'snapshot-installed': {
    number: 246,
    level: 'info',
    meaning: 'A snapshot from the leader was taken over.',
  },
  'leadership-handed-over': {
    number: 247,
    level: 'info',
    meaning: 'The leader drains and asked another voter to lead.',
  },
  'claims-lost': {
    number: 250,
    level: 'warn',
    meaning:
      'An entry with running claims is lost; their outcome counts as unknown.',
  },
} as const satisfies Record<string, EventKind>;
