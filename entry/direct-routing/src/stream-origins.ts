import {Result} from 'true-myth';
import {
  UNKNOWN_START_TIME,
  type ServiceVersion,
  type SoftwareVersions,
  type StreamOrigin,
  type TargetAnnouncement,
  type TargetIncarnation,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {
  findOnlyVersion,
  SoftwareVersionHistory,
  StreamOriginLedger,
  type VersionCertainty,
} from '@marigoldspur/stream-origins';
import type {StartConfirmer} from '@marigoldspur/target-starts';
import type {Call} from './call.js';
import {fingerprintRequest} from './request-fingerprint.js';
import type {StreamOriginClient} from './stream-origin-client.js';

/** Options of stream origins. */
export interface StreamOriginsOptions {
  readonly client: Pick<
    StreamOriginClient,
    'broadcast' | 'lookUp' | 'sendAnew'
  >;
  /** Returns the software version of a target; undefined if it may have started anew. */
  readonly versionOf: (target: TargetAnnouncement) => string | undefined;
  /**
   * Returns the software versions in the replicated log; undefined while it may hold newer ones.
   */
  readonly recordedVersions: () => readonly ServiceVersion[] | undefined;
  readonly startConfirmer: Pick<StartConfirmer, 'confirm'>;
  /** Returns the time at `now` since all replicas of control were last followed, in milliseconds. */
  readonly unfollowedMs: (now: number) => number;
  readonly events: EventLog;
}

/**
 * Time without one of the replicas of control after which targets with another version may
 * serve that this entry does not know, in milliseconds.
 */
const UNFOLLOWED_GRACE_MS = 2_000;
/** Target of a stream that began at any target of the only version. */
const UNKNOWN_TARGET: TargetIncarnation = {id: '', bornAt: UNKNOWN_START_TIME};
const NO_BODY = {pieces: []};
/** Retry delay for callers while the replicas of control cannot be asked, in seconds. */
const UNREACHABLE_RETRY_AFTER_SECONDS = 1;

/**
 * Knows which software version began each stream. All entries learn it through control, but
 * only while the targets of a service have, or had lately, several versions.
 */
export class StreamOrigins {
  private readonly ledger = new StreamOriginLedger();
  private readonly history: SoftwareVersionHistory;
  /** Services whose origins other entries are told. */
  private readonly sharedServices = new Set<string>();

  constructor(
    private readonly options: StreamOriginsOptions,
    now: number,
  ) {
    this.history = new SoftwareVersionHistory(now);
  }

  /** Records the known targets. */
  recordTargets(targets: readonly TargetAnnouncement[], now: number): void {
    this.history.record(targets, now);
    const services = new Set(targets.map(({service}) => service));
    services.forEach(service => this.updateSharing(service, now));
    const retracted = targets.flatMap(target =>
      this.ledger.retractLast(target, now),
    );
    if (retracted.length > 0) {
      this.options.client.broadcast(retracted);
    }
  }

  /**
   * Records what a replica of control saw, and tells it the origins that it may have lost.
   * `isComplete` tells whether all replicas have said what they saw.
   */
  recordReplica(
    replica: string,
    versions: SoftwareVersions,
    isComplete: boolean,
    now: number,
  ): void {
    this.history.merge(versions, isComplete, now);
    this.options.client.sendAnew(replica, this.sharedOrigins(now));
  }

  /** The newest origins that other entries are told. */
  sharedOrigins(now: number): StreamOrigin[] {
    return this.ledger
      .newest(now)
      .filter(({service}) => this.sharedServices.has(service));
  }

  /**
   * Resolves to whether a response over a connection comes from the announced start of a target,
   * and so from its software version.
   */
  async confirmStart(
    target: TargetAnnouncement,
    connection: object,
  ): Promise<boolean> {
    const {events, startConfirmer} = this.options;
    const start = await startConfirmer.confirm(target, connection);
    if (start !== 'announced') {
      const {bornAt, id} = target;
      events.record('target-start-unconfirmed', {target: id, bornAt, start});
    }
    return start === 'announced';
  }

  /** Records that a target sent the first event of the stream that a call began. */
  recordFirstEvent(call: Call, target: TargetAnnouncement, now: number): void {
    if (call.metadata.id === '') {
      return;
    }
    const added = this.ledger.add([this.originAt(call, target)], now);
    this.updateSharing(call.service.name, now);
    if (this.sharedServices.has(call.service.name) && added.length > 0) {
      this.options.client.broadcast(added);
    }
  }

  /** Returns the origin of a stream whose events come from a target. */
  originAt(call: Call, target: TargetAnnouncement): StreamOrigin {
    const {bornAt, id, service} = target;
    const softwareVersion = this.options.versionOf(target);
    return createOrigin(call, {bornAt, id, service, softwareVersion});
  }

  /**
   * Resolves to the origin of the stream that a call takes up; to undefined if the call begins a
   * stream; or to the reason why no target may continue it. What this entry believes may be old,
   * so an origin that it does not know itself comes from control. `clock` returns the present
   * time, in milliseconds.
   */
  async resolve(
    call: Call,
    clock: () => number,
  ): Promise<Result<StreamOrigin | undefined, Refusal>> {
    const {resumeAfter, resumes} = call.metadata;
    if (!call.route.streaming || resumeAfter === undefined) {
      return Result.ok(undefined);
    }
    const known = resumes === undefined ? undefined : this.ledger.find(resumes);
    if (known !== undefined && isOriginOf(known, call)) {
      this.record(call, known, 'entry');
      return Result.ok(known);
    }
    const service = call.service.name;
    const {evidence, origin} = await this.options.client.lookUp({
      call: resumes,
      service,
    });
    if (origin !== undefined && isOriginOf(origin, call)) {
      this.record(call, origin, 'control');
      return Result.ok(origin);
    }
    const only = findOnlyVersion(service, evidence, this.history, clock());
    if (only !== undefined) {
      const anywhere = createOrigin(call, {...only, ...UNKNOWN_TARGET});
      this.record(call, anywhere, 'only-version');
      return Result.ok(anywhere);
    }
    this.record(call, undefined, 'unknown');
    const isConfirmed = [...evidence.values()].some(
      ({confirmed}) => confirmed !== undefined,
    );
    return Result.err(createUnknownOriginRefusal(isConfirmed));
  }

  private certaintyOf(service: string, now: number): VersionCertainty {
    const recorded = this.options.recordedVersions();
    if (
      recorded !== undefined &&
      this.history.isOnlyVersion(service, recorded, now)
    ) {
      return 'one';
    }
    const certainty = this.history.certaintyOf(service, now);
    const isBlind = this.options.unfollowedMs(now) > UNFOLLOWED_GRACE_MS;
    return certainty === 'one' && isBlind ? 'unknown' : certainty;
  }

  /** Shares the origins of a service from the time when it may have several versions. */
  private updateSharing(service: string, now: number): void {
    const isShared = this.certaintyOf(service, now) !== 'one';
    if (isShared === this.sharedServices.has(service)) {
      return;
    }
    this.options.events.record('stream-origins-shared', {
      service,
      shared: isShared,
    });
    if (!isShared) {
      this.sharedServices.delete(service);
      return;
    }
    this.sharedServices.add(service);
    const origins = this.ledger
      .newest(now)
      .filter(origin => origin.service === service);
    this.options.client.broadcast(origins);
  }

  private record(
    call: Call,
    origin: StreamOrigin | undefined,
    source: 'entry' | 'control' | 'only-version' | 'unknown',
  ): void {
    this.options.events.record(
      'stream-origin-resolved',
      {
        resumes: call.metadata.resumes ?? '',
        source,
        ...(origin && {
          target: origin.id,
          version: origin.softwareVersion ?? 'unknown',
          ageMs: Math.round(origin.ageMs),
        }),
      },
      call.metadata.id,
    );
  }
}

function createOrigin(
  call: Call,
  target: TargetIncarnation & ServiceVersion,
): StreamOrigin {
  return {
    call: call.metadata.id,
    request: fingerprintWithoutBody(call),
    ...target,
    ageMs: 0,
  };
}

/** Whether an origin is that of the stream that a call takes up. */
function isOriginOf(origin: StreamOrigin, call: Call): boolean {
  return (
    origin.service === call.service.name &&
    origin.request === fingerprintWithoutBody(call)
  );
}

function fingerprintWithoutBody({headers, metadata, method, path}: Call) {
  return fingerprintRequest({
    method,
    host: headers.host ?? '',
    path,
    credentials: metadata.credentials,
    body: NO_BODY,
  });
}

function createUnknownOriginRefusal(isFinal: boolean): Refusal {
  return new Refusal(
    'not-run',
    503,
    'stream_origin_unknown',
    'it is not known which software version began the stream',
    isFinal ? undefined : UNREACHABLE_RETRY_AFTER_SECONDS,
  );
}
