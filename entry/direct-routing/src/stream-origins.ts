import {Result} from 'true-myth';
import type {
  ServiceVersion,
  SoftwareVersions,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {
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
const NO_BODY = Buffer.alloc(0);
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
    return {
      call: call.metadata.id,
      request: fingerprintWithoutBody(call),
      id,
      bornAt,
      service,
      softwareVersion: this.options.versionOf(target),
      ageMs: 0,
    };
  }

  /**
   * Resolves to the origin of the stream that a call takes up; to undefined if the call begins a
   * stream or any target of its service may continue it; or to the reason why none may.
   */
  async resolve(
    call: Call,
    now: number,
  ): Promise<Result<StreamOrigin | undefined, Refusal>> {
    const {resumeAfter = 0, resumes} = call.metadata;
    const isTakenUp = call.route.streaming && resumeAfter > 0;
    const certainty = this.certaintyOf(call.service.name, now);
    if (!isTakenUp || certainty === 'one') {
      return Result.ok(undefined);
    }
    const known = resumes === undefined ? undefined : this.ledger.find(resumes);
    const {answers, origin} =
      known !== undefined || resumes === undefined
        ? {origin: known, answers: 0}
        : await this.options.client.lookUp(resumes);
    const isMatch =
      origin !== undefined &&
      origin.service === call.service.name &&
      origin.request === fingerprintWithoutBody(call);
    this.record(call, isMatch ? origin : undefined, known !== undefined);
    if (isMatch) {
      return Result.ok(origin);
    }
    const mayBecomeOne =
      certainty === 'unknown' && this.options.recordedVersions() === undefined;
    const isFinal = (answers > 0 && !mayBecomeOne) || resumes === undefined;
    return Result.err(createUnknownOriginRefusal(isFinal));
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
    isLocal: boolean,
  ): void {
    this.options.events.record(
      'stream-origin-resolved',
      {
        resumes: call.metadata.resumes ?? '',
        source:
          origin === undefined ? 'unknown' : isLocal ? 'entry' : 'control',
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
