/** One kind of event: its stable number and what it means. */
export interface EventKind {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly meaning: string;
}

/**
 * Every event that a process may record. Numbers are never reused:
 * 1xx process life, 2xx control, 3xx members, 4xx requests at the entry,
 * 5xx requests at the agent, 6xx adapter loads, 7xx links.
 */
export const CATALOGUE = {
  'process-started': {
    number: 100,
    level: 'info',
    meaning: 'The process is ready to serve.',
  },
  'process-draining': {
    number: 101,
    level: 'info',
    meaning: 'The process takes no new work and ends what runs.',
  },
  'process-stopped': {
    number: 102,
    level: 'info',
    meaning: 'The process ended its work and exits.',
  },
  'insecure-loopback': {
    number: 104,
    level: 'warn',
    meaning: 'No keys are set, so the process binds to loopback only.',
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
      'A key file changed and is malformed; the last good content stays.',
  },
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
  'permit-refused': {
    number: 650,
    level: 'info',
    meaning: 'A permit to load was refused since the load would end too late.',
  },
  'load-refused': {
    number: 651,
    level: 'info',
    meaning:
      'The requests that waited for a load that is too late were refused.',
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
    meaning: 'The lease of a process or target ran out.',
  },
  'member-fenced': {
    number: 303,
    level: 'warn',
    meaning: 'An agent lost its target to another with a newer fencing number.',
  },
  'members-settled': {
    number: 304,
    level: 'info',
    meaning: 'A new leader’s member table counts as complete.',
  },
  'claims-lost': {
    number: 250,
    level: 'warn',
    meaning:
      'An entry with running claims is lost; their outcome counts as unknown.',
  },
  'stream-lost': {
    number: 305,
    level: 'warn',
    meaning: 'The stream from a replica of control fell silent or broke.',
  },
  'settings-pulled': {
    number: 306,
    level: 'info',
    meaning: 'Settings were taken from a process that was ahead.',
  },
  'request-received': {
    number: 400,
    level: 'debug',
    meaning: 'A caller’s request was read.',
  },
  'request-dispatched': {
    number: 401,
    level: 'debug',
    meaning: 'An attempt was sent to a target.',
  },
  'request-answered': {
    number: 402,
    level: 'debug',
    meaning: 'The caller has its whole answer.',
  },
  'request-refused': {
    number: 403,
    level: 'info',
    meaning: 'The caller got a refusal.',
  },
  'request-torn': {
    number: 404,
    level: 'warn',
    meaning: 'An answer broke off after its first byte reached the caller.',
  },
  'request-cancelled': {
    number: 405,
    level: 'info',
    meaning: 'The caller went away before the answer was whole.',
  },
  'attempt-retried': {
    number: 406,
    level: 'info',
    meaning: 'A request is tried again at another target.',
  },
  'answer-replayed': {
    number: 407,
    level: 'info',
    meaning: 'A resend got the answer that was kept from the first run.',
  },
  'completion-lost': {
    number: 408,
    level: 'warn',
    meaning: 'Control did not take the end of a claimed request.',
  },
  'answer-crossed': {
    number: 409,
    level: 'warn',
    meaning: 'An answer to another request was dropped.',
  },
  'request-error': {
    number: 410,
    level: 'error',
    meaning: 'Serving a request failed inside the entry.',
  },
  'shutdown-bound-reached': {
    number: 411,
    level: 'warn',
    meaning: 'Requests still ran when the time for a shutdown was over.',
  },
  'target-suspected': {
    number: 412,
    level: 'warn',
    meaning: 'A target gets no work from this entry until it answers again.',
  },
  'target-trusted': {
    number: 413,
    level: 'info',
    meaning: 'A suspected target answered and gets work again.',
  },
  'stream-broken': {
    number: 430,
    level: 'warn',
    meaning: 'A stream broke off and is opened again where it stood.',
  },
  'stream-resumed': {
    number: 431,
    level: 'info',
    meaning: 'A broken stream goes on at the event after the last one.',
  },
  'stream-torn': {
    number: 432,
    level: 'warn',
    meaning: 'A broken stream could not be resumed in time.',
  },
  'attempt-received': {
    number: 500,
    level: 'debug',
    meaning: 'An attempt reached the agent.',
  },
  'attempt-forwarded': {
    number: 501,
    level: 'debug',
    meaning: 'An attempt was forwarded to the target under a pin.',
  },
  'attempt-ended': {
    number: 502,
    level: 'debug',
    meaning: 'The target’s answer was relayed whole.',
  },
  'attempt-refused': {
    number: 503,
    level: 'info',
    meaning: 'An attempt was refused before it reached the target.',
  },
  'attempt-failed': {
    number: 504,
    level: 'warn',
    meaning: 'An attempt broke off after it was forwarded.',
  },
  'attempt-repeated': {
    number: 505,
    level: 'warn',
    meaning: 'An attempt came twice; its second copy was not run.',
  },
  'attempt-cancelled': {
    number: 506,
    level: 'info',
    meaning:
      'The entry went away or cancelled; unless the stream is held (510), the target was told to stop.',
  },
  'target-answer-crossed': {
    number: 507,
    level: 'warn',
    meaning: 'An answer of another request, adapter or boot was dropped.',
  },
  'target-answer-torn': {
    number: 508,
    level: 'warn',
    meaning: 'An answer lacked its end and was not ended cleanly.',
  },
  'attempt-stopped': {
    number: 509,
    level: 'debug',
    meaning: 'The target confirmed that a broken-off attempt has stopped.',
  },
  'stream-held': {
    number: 510,
    level: 'info',
    meaning: 'A stream broke off; its run and its pin stay for a resume.',
  },
  'stream-reopened': {
    number: 511,
    level: 'info',
    meaning: 'A stream is read again after the last event of its entry.',
  },
  'resume-refused': {
    number: 512,
    level: 'warn',
    meaning: 'A stream can’t be resumed here.',
  },
  'stream-released': {
    number: 513,
    level: 'info',
    meaning: 'A held stream was cancelled or not resumed in time.',
  },
  'digest-differs': {
    number: 514,
    level: 'warn',
    meaning:
      'The target holds other weights than the version names; they are loaded anew.',
  },
  'load-ordered': {
    number: 600,
    level: 'info',
    meaning: 'The target was ordered to load an adapter.',
  },
  'load-finished': {
    number: 601,
    level: 'info',
    meaning: 'The target holds the adapter.',
  },
  'load-failed': {
    number: 602,
    level: 'warn',
    meaning: 'A load failed.',
  },
  'prefetch-begun': {
    number: 515,
    level: 'info',
    meaning:
      'A new version of an adapter that the engine holds is loaded ahead of its first request.',
  },
  'adapter-evicted': {
    number: 603,
    level: 'info',
    meaning: 'An adapter left its slot.',
  },
  'target-restarted': {
    number: 604,
    level: 'warn',
    meaning: 'The target returned with another boot identity and empty slots.',
  },
  'load-backed-off': {
    number: 605,
    level: 'info',
    meaning: 'A load is not tried again until its pause is over.',
  },
  'load-dropped': {
    number: 606,
    level: 'info',
    meaning: 'A load that nobody waits for was dropped before it began.',
  },
  'order-unclear': {
    number: 607,
    level: 'warn',
    meaning: 'The answer to an order was lost, so the target is asked.',
  },
  'orders-held': {
    number: 608,
    level: 'warn',
    meaning: 'No orders are given while the lease is not confirmed.',
  },
  'orders-taken-over': {
    number: 609,
    level: 'info',
    meaning: 'The agent may order evictions: none before it can any more.',
  },
  'loads-isolated': {
    number: 610,
    level: 'warn',
    meaning: 'Control is away, so loads go at the share of this agent.',
  },
  'adapter-distrusted': {
    number: 611,
    level: 'warn',
    meaning: 'The target lists an adapter that it does not serve.',
  },
  'slots-differ': {
    number: 612,
    level: 'warn',
    meaning: 'The target has fewer adapter slots than it says.',
  },
  'cache-events-missed': {
    number: 670,
    level: 'debug',
    meaning: 'Events of the target’s prefix cache never came.',
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
      'An attempt was long on its way, so its entry may have given it up: the end of its link is awaited for a moment.',
  },
} as const satisfies Record<string, EventKind>;

/** Name of a kind of event. */
export type EventName = keyof typeof CATALOGUE;

/** The stable number of a kind of event. */
export function eventNumber(name: EventName): number {
  return CATALOGUE[name].number;
}
