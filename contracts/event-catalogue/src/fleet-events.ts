import type {EventKind} from './event-kind.js';

/** Events of deployments and of targets that announce themselves, 7xx. */
export const FLEET_EVENTS = {
  'deployment-answered': {
    number: 700,
    level: 'info',
    meaning:
      'A replica of control has responded to a deployment that an operator sent; `outcome` tells whether the deployment took effect.',
  },
  'version-answered': {
    number: 701,
    level: 'info',
    meaning:
      'A replica of control has responded to an operator who named a new version of an adapter.',
  },
  'target-announced': {
    number: 702,
    level: 'info',
    meaning: 'The announcement of a target is new or has changed.',
  },
  'target-ended': {
    number: 703,
    level: 'info',
    meaning: 'A target has deregistered.',
  },
  'target-silent': {
    number: 704,
    level: 'warn',
    meaning: 'A target has stopped announcing itself.',
  },
  'deployment-in-force': {
    number: 705,
    level: 'info',
    meaning: 'A deployment is in force in this process.',
  },
  'version-in-force': {
    number: 706,
    level: 'info',
    meaning:
      'A version of an adapter that an operator named is in force in this process.',
  },
  'fleet-followed': {
    number: 707,
    level: 'info',
    meaning:
      'A replica of control has sent its whole fleet state: the head of the deployment, the named versions and the targets.',
  },
  'fleet-lost': {
    number: 708,
    level: 'warn',
    meaning:
      'The stream of the fleet state from a replica of control has broken or timed out.',
  },
  'announcement-rejected': {
    number: 709,
    level: 'warn',
    meaning: 'The announcement of a target is invalid and is rejected.',
  },
  'deployment-rejected': {
    number: 710,
    level: 'warn',
    meaning:
      'A deployment is invalid and is rejected; the last valid one stays in force.',
  },
  'settings-file-changed': {
    number: 711,
    level: 'info',
    meaning:
      'The settings file has changed and is valid. The process uses its new addresses of control; all other settings take effect at the next start.',
  },
  'settings-file-rejected': {
    number: 712,
    level: 'warn',
    meaning:
      'The settings file has changed and its new content is invalid; the last valid content stays in force.',
  },
  'deployment-announced': {
    number: 713,
    level: 'info',
    meaning:
      'A replica of control has applied a deployment and announced it to its `followers`; `unreadBytes` is what all of them together have not read yet of the fleet stream.',
  },
  'fleet-follower-dropped': {
    number: 714,
    level: 'warn',
    meaning:
      'A replica of control has disconnected an entry that left too many bytes of the fleet stream unread.',
  },
  'deployment-received': {
    number: 715,
    level: 'info',
    meaning:
      'An entry has received a deployment, or its difference from the one before, from a replica of control; `bytes` is its size as transferred.',
  },
  'deployment-not-received': {
    number: 716,
    level: 'warn',
    meaning:
      'A replica of control did not bring the deployment that it announced; the entry asks the next one.',
  },
  'deployment-not-applied': {
    number: 717,
    level: 'error',
    meaning:
      'An error has occurred while an entry applied a deployment, which may be in force in part or not at all; the entry applies it again after `retryMs`, unless a newer one comes before.',
  },
  'call-refused': {
    number: 720,
    level: 'info',
    meaning: 'The entry refuses a call.',
  },
  'call-sent': {
    number: 721,
    level: 'debug',
    meaning: 'The entry sends a call to a target.',
  },
  'call-answered': {
    number: 722,
    level: 'info',
    meaning:
      'The caller has received the complete response of a target; `version` is the version of its software, `targetFraming` and `callerFraming` tell how the end of the body was told on each side (`length`, `chunks`, `close` of the connection, `none` without a body, `unsent`), `receivedPieces` is the number of pieces in which `receivedBytes` came, and `end` tells how the response of the target ended (`ended`, `broken`, or `open` if it was not read to its end).',
  },
  'call-torn': {
    number: 723,
    level: 'warn',
    meaning:
      'A response has broken off after it had started; its details are those of 722.',
  },
  'call-cancelled': {
    number: 724,
    level: 'info',
    meaning: 'The caller has disconnected before the response was complete.',
  },
  'call-attempt-failed': {
    number: 725,
    level: 'info',
    meaning:
      'A target has not served a call: its adapter did not become ready, or the attempt failed; `fingerprint`, stated if it may have run, is the same each time the request is sent.',
  },
  'call-resumed': {
    number: 726,
    level: 'info',
    meaning:
      'An interrupted stream continues at another target; `version` is the version of its software.',
  },
  'adapter-awaited': {
    number: 727,
    level: 'debug',
    meaning: 'A call waits until its target has loaded an adapter.',
  },
  'target-suspected': {
    number: 728,
    level: 'warn',
    meaning:
      'A target has failed; this entry prefers other targets until it responds again or the suspicion decays. The reason `chunks` means that its responses have to wait because it brings too many small chunks.',
  },
  'target-withdrawn': {
    number: 729,
    level: 'info',
    meaning:
      'This entry has learned that a target is leaving or is no longer listed (`reason`) and sends it no further calls.',
  },
  'response-broken': {
    number: 730,
    level: 'info',
    meaning:
      'A response ended early; `arrived` tells whether an event had arrived or only the head, `fingerprint` is the same each time the request is sent, `parts` names the parts of the prompt in order, and `aborted` tells whether this entry ended it.',
  },
  'crash-reported': {
    number: 731,
    level: 'info',
    meaning:
      'An engine has crashed while this entry waited for its answer to a call, or for the first event of the answer; the entry tells control. `fingerprint` is the same each time the request is sent, `ageMs` the time since the answer broke off.',
  },
  'prompt-part-blocked': {
    number: 732,
    level: 'warn',
    meaning:
      'This entry refuses calls with a part of a prompt from now on because engines crash when they begin to answer them; `entries` names those that saw the crashes and `ageMs` is the age of the first one.',
  },
  'prompt-part-released': {
    number: 733,
    level: 'info',
    meaning:
      'This entry no longer refuses calls with a part of a prompt: a call with it was answered completely, or neither a crash nor such a call was seen for a long time.',
  },
  'crash-records-added': {
    number: 734,
    level: 'info',
    meaning:
      'A replica of control has received crash records that it did not know and sends them to all entries.',
  },
  'crash-records-unsent': {
    number: 735,
    level: 'info',
    meaning:
      'A replica of control has not taken crash records; it receives them again when its stream to this entry starts anew.',
  },
  'request-limit-changed': {
    number: 736,
    level: 'info',
    meaning:
      'A target states another limit of requests per second than before, or none any more; `source` tells whether this entry saw the response (`response`), learned it from control, or is a replica that learned it from an entry, and `ageMs` how long ago the target stated it.',
  },
  'request-limits-unsent': {
    number: 737,
    level: 'info',
    meaning:
      'A replica of control has not taken the request limit of a target; it receives it again when its stream to this entry starts anew.',
  },
  'request-permit-failed': {
    number: 738,
    level: 'warn',
    meaning:
      'A replica of control has not answered a request for a permit to send a call to a target with a limit; the entry asks another one.',
  },
  'request-permit-denied': {
    number: 739,
    level: 'info',
    meaning:
      'A call is not sent to a target because of its request limit; `waitMs` is the expected time until the target takes another one.',
  },
  'engine-found': {
    number: 740,
    level: 'info',
    meaning:
      'The agent has read the state of an engine that it did not know or that has restarted.',
  },
  'engine-lost': {
    number: 741,
    level: 'warn',
    meaning: 'The agent can no longer read the state of its engine.',
  },
  'order-given': {
    number: 742,
    level: 'info',
    meaning:
      'An engine has accepted an order to load or unload an adapter, or (`holds`) is already in the ordered state.',
  },
  'order-failed': {
    number: 743,
    level: 'warn',
    meaning: 'An engine has refused an order, or its response was lost.',
  },
  'adapter-ready': {
    number: 744,
    level: 'info',
    meaning: 'An engine has loaded an adapter that calls wait for.',
  },
  'fence-granted': {
    number: 745,
    level: 'info',
    meaning: 'The agent has received a fencing number for its orders.',
  },
  'fence-awaited': {
    number: 746,
    level: 'warn',
    meaning:
      'Control has granted the agent no fencing number; the agent asks again.',
  },
  'request-blocked': {
    number: 750,
    level: 'warn',
    meaning:
      'This entry refuses a request from now on, whoever sends it again, because engines crash when they begin to run it; `entries` names those that saw the crashes and `ageMs` is the age of the first one.',
  },
  'request-released': {
    number: 751,
    level: 'info',
    meaning:
      'This entry no longer refuses a request: it was answered completely, other requests explain the crashes, or it was not seen for a long time.',
  },
  'stream-taken-up': {
    number: 752,
    level: 'info',
    meaning:
      'A caller takes up a stream after event `after`; `resumes` is the ID of the call that brought its first event.',
  },
  'stream-origin-resolved': {
    number: 753,
    level: 'info',
    meaning:
      'The entry has looked up which target began the stream that a caller takes up; `source` tells whether the entry knew it, a replica of control did, the service certainly has one version alone (`only-version`), or nobody (`unknown`), and `ageMs` is the age of its first event.',
  },
  'stream-origins-shared': {
    number: 754,
    level: 'info',
    meaning:
      'The targets of a service have, or may have had lately, several software versions, so that this entry tells control which of them begins each stream; or (`shared` false) they have one.',
  },
  'stream-origins-failed': {
    number: 755,
    level: 'warn',
    meaning:
      'The connection over which a replica of control receives the origins of streams was lost, so that it receives the recent ones again, or the replica has not answered a lookup.',
  },
  'stream-invalid': {
    number: 762,
    level: 'warn',
    meaning:
      'The bytes of a target cannot be the rest of a stream after event `after`; they are dropped, and the stream is resumed at another target or breaks off.',
  },
  'stream-exceeded': {
    number: 763,
    level: 'warn',
    meaning:
      'A target has written more events on a stream than the request has output tokens (`tokens`); the stream breaks off, and the target is suspected.',
  },
  'response-fragmented': {
    number: 765,
    level: 'warn',
    meaning:
      'A response of a target broke off because its chunks are too many and too small for an answer; the target is suspected.',
  },
  'target-start-unconfirmed': {
    number: 760,
    level: 'warn',
    meaning:
      'A target that began a stream does not say that it is the start that was announced: a stream that another target began does not go on there, and one that it began is not taken up elsewhere while its service has several software versions.',
  },
  'software-version-unrecorded': {
    number: 761,
    level: 'warn',
    meaning:
      'A replica of control could not commit that targets of a service have a software version; entries do not learn of such a target until it can.',
  },
  'target-leave-stated': {
    number: 756,
    level: 'info',
    meaning:
      'A replica of control has learned from an entry that a target said in an answer that it leaves; it tells all entries.',
  },
  'target-leaves-unsent': {
    number: 757,
    level: 'info',
    meaning:
      'A replica of control has not taken which targets say that they leave; it receives it again when its stream to this entry starts anew.',
  },
  'target-paused': {
    number: 758,
    level: 'info',
    meaning:
      'A target has turned a call away and wants nothing from this entry for `pauseMs` milliseconds.',
  },
  'target-pause-invalid': {
    number: 759,
    level: 'warn',
    meaning:
      'A target has turned a call away with a `Retry-After` that is no number of seconds (`value`); no pause is kept.',
  },
  'target-slow': {
    number: 764,
    level: 'warn',
    meaning:
      'Calls take a target at least twice the time (`factor`) that they take the median of its service; written at most once per minute for each target. This entry sends it less work.',
  },
  'deployment-confirmed': {
    number: 770,
    level: 'info',
    meaning:
      'A quorum of control has confirmed that the configuration of this entry (`revision`) is current; calls with keys are served.',
  },
  'deployment-unconfirmed': {
    number: 771,
    level: 'warn',
    meaning:
      'No quorum of control has confirmed the configuration of this entry (`revision`) lately, or a newer one is known to it; calls with keys are refused until one does.',
  },
  'deployment-confirmation-failed': {
    number: 772,
    level: 'warn',
    meaning:
      'A replica of control has not confirmed which configuration is current, the first time since it did; the entry asks another one.',
  },
  'deployment-fields-unknown': {
    number: 773,
    level: 'warn',
    meaning:
      'A valid configuration has fields that this software does not know and ignores; `fields` names them without their values.',
  },
  'quota-share-changed': {
    number: 780,
    level: 'info',
    meaning:
      'A replica of control grants another share of the quotas (`share`, 0 to 1), or has another number of tenants with quotas (`tenants`); all replicas have equal shares.',
  },
  'quota-grants-stopped': {
    number: 781,
    level: 'warn',
    meaning:
      'A replica of control grants no quotas because no quorum confirms its state.',
  },
  'quota-grants-resumed': {
    number: 782,
    level: 'info',
    meaning:
      'A replica of control grants quotas again because a quorum confirms its state.',
  },
  'quota-refusals-began': {
    number: 783,
    level: 'info',
    meaning:
      'This entry begins to refuse calls of a tenant because its quota has no room (`exceeded`) or because replicas of control that may have room do not answer (`unavailable`); `amount` is what the first such call asked for, and `waitMs` when there will be room.',
  },
  'quota-refusals-ended': {
    number: 784,
    level: 'info',
    meaning:
      'This entry has refused no call of a tenant for that reason for a while; `refused` is how many it refused.',
  },
  'quota-replica-failed': {
    number: 785,
    level: 'warn',
    meaning:
      'A replica of control has not answered a request for units of quotas in time; this entry asks the next one meanwhile.',
  },
  'quota-replica-answers': {
    number: 786,
    level: 'info',
    meaning: 'A replica of control answers requests for units of quotas again.',
  },
  'quota-figures-unreadable': {
    number: 787,
    level: 'error',
    meaning:
      'A replica of control cannot read the tenants of a deployment; it grants by the quotas of the one before.',
  },
  'lines-dropped': {
    number: 790,
    level: 'warn',
    meaning:
      'Log lines are dropped because the process writes them faster than they are read.',
  },
} as const satisfies Record<string, EventKind>;
