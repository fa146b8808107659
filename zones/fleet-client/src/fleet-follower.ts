import type http from 'node:http';
import {
  type CrashRecords,
  type DeploymentRequest,
  type DeploymentText,
  type DeploymentTransfer,
  type ServiceVersion,
  type SoftwareVersions,
  type TargetLimit,
  DEPLOYMENT_TRANSFER_PATH,
  DEPLOYMENT_TRANSFER_SCHEMA,
  FLEET_PATH,
  FLEET_MAX_INTERVAL_MS,
  KNOWN_VERSIONS_HEADER,
  readFleetMessage,
} from '@marigoldspur/deployment';
import {DeploymentFetcher} from '@marigoldspur/deployment-transfer';
import type {EventLog} from '@marigoldspur/event-log';
import {formatFindings} from '@marigoldspur/faults';
import {FleetView, type FleetChange} from '@marigoldspur/fleet-view';
import {exchangeJson} from '@marigoldspur/http-link';
import {DeploymentApplier} from './deployment-applier.js';
import {openLineStream} from './line-stream.js';

/** Options of a fleet follower. */
export interface FleetFollowerOptions {
  /** Base URLs from which the replicas of control are discovered. */
  readonly seeds: readonly string[];
  readonly agent: http.Agent;
  readonly events: EventLog;
  /** Called after each message with the parts of the view that it changed. */
  readonly onChange: (change: FleetChange) => void;
  /**
   * Called with the crash records of a replica; `areAll` if they are all that it knows,
   * which it sends when its stream starts.
   */
  readonly onCrashRecords: (
    replica: string,
    records: CrashRecords,
    areAll: boolean,
  ) => void;
  /**
   * Called with the software versions that a replica saw lately when its stream starts;
   * `isComplete` once all known replicas have sent theirs.
   */
  readonly onSoftwareVersions: (
    replica: string,
    versions: SoftwareVersions,
    isComplete: boolean,
  ) => void;
  /** Called with the request limits that a replica knows; `areAll` as for crash records. */
  readonly onLimits: (
    replica: string,
    limits: readonly TargetLimit[],
    areAll: boolean,
  ) => void;
  /** Called with the size of each message that a replica sent. */
  readonly onReceived: (replica: string, bytes: number) => void;
}

/** A stream counts as lost after three missed messages. */
const IDLE_TIMEOUT_MS = 3 * FLEET_MAX_INTERVAL_MS;
const RETRY_DELAY_MS = 200;
const MAINTENANCE_INTERVAL_MS = 500;
const MAX_FIRST_STREAM = 1_024;
const MAX_TRANSFER_BYTES = 33_554_432;

interface ReplicaStream {
  close: () => void;
  isFollowed: boolean;
}

/** Keeps a stream open to each known replica of control and merges them into a fleet view. */
export class FleetFollower {
  readonly view = new FleetView();
  private readonly fetcher: DeploymentFetcher;
  private readonly applier: DeploymentApplier;
  private readonly replicaStreams = new Map<string, ReplicaStream>();
  /** Replicas whose stream has started at least once. */
  private readonly followedOnce = new Set<string>();
  private readonly retries = new Set<NodeJS.Timeout>();
  private readonly maintenanceTimer: NodeJS.Timeout;
  private seeds: readonly string[];
  private isStopped = false;
  /** When all known replicas were last followed, as a `performance.now()` time. */
  private followedAllAt = -Infinity;
  private confirmed = false;
  /** Counts the streams that are opened before the first state comes; which is first is random. */
  private firstStreams = Math.floor(Math.random() * MAX_FIRST_STREAM);
  private recorded: readonly ServiceVersion[] = [];

  constructor(private readonly options: FleetFollowerOptions) {
    this.seeds = options.seeds;
    this.fetcher = new DeploymentFetcher({
      send: (replica, request, timeoutMs) =>
        this.requestDeployment(replica, request, timeoutMs),
      onDeployment: deployment => this.handleDeployment(deployment),
      onFailure: (replica, {message: reason}) =>
        options.events.record('deployment-not-received', {replica, reason}),
    });
    this.applier = new DeploymentApplier({
      apply: () =>
        options.onChange({
          hasNewDeployment: true,
          versions: [],
          hasChangedTargets: false,
        }),
      onFailure: ({revision}, thrown, retryMs) => {
        const reason = String(thrown);
        const details = {revision, reason, retryMs};
        options.events.record('deployment-not-applied', details);
      },
    });
    this.updateStreams();
    this.maintenanceTimer = setInterval(
      () => this.maintainStreams(),
      MAINTENANCE_INTERVAL_MS,
    );
  }

  /** Whether a quorum of control has confirmed the fleet state at least once since the start. */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /** Software versions in the replicated log, as the followed replicas have told. */
  get recordedVersions(): readonly ServiceVersion[] {
    return this.recorded;
  }

  /** Whether a majority of the known replicas is followed, which hears of all that is committed. */
  get isFollowingMajority(): boolean {
    const {replicas} = this.view;
    const followed = replicas.filter(url => this.isFollowed(url));
    return followed.length > replicas.length / 2;
  }

  /** Number of replicas that are currently followed. */
  get followedCount(): number {
    return [...this.replicaStreams.values()].filter(stream => stream.isFollowed)
      .length;
  }

  /** Time at `now` since all known replicas were last followed, in milliseconds. */
  unfollowedMs(now: number): number {
    const {replicas} = this.view;
    const isFollowingAll =
      replicas.length > 0 && replicas.every(url => this.isFollowed(url));
    if (isFollowingAll) {
      this.followedAllAt = now;
    }
    return now - this.followedAllAt;
  }

  /** Returns the base URLs of known replicas and the seed URLs. */
  urls(): string[] {
    return [...new Set([...this.view.replicas, ...this.seeds])];
  }

  /** Replaces the base URLs from which the replicas of control are discovered. */
  setSeedUrls(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.updateStreams();
  }

  stop(): void {
    this.isStopped = true;
    this.fetcher.stop();
    this.applier.stop();
    clearInterval(this.maintenanceTimer);
    this.retries.forEach(timer => clearTimeout(timer));
    this.replicaStreams.forEach(stream => stream.close());
  }

  private isFollowed(url: string): boolean {
    return this.replicaStreams.get(url)?.isFollowed === true;
  }

  private maintainStreams(): void {
    this.view.dropLostSources(performance.now());
    this.updateStreams();
  }

  private updateStreams(): void {
    const wanted = this.urls();
    const missing = wanted.filter(url => !this.replicaStreams.has(url));
    if (this.confirmed) {
      missing.forEach(url => this.open(url));
    } else if (missing.length > 0) {
      // The first state holds all named versions, which the others need not send then.
      this.open(missing[this.firstStreams % missing.length]);
      this.firstStreams += 1;
    }
    for (const [url, stream] of this.replicaStreams) {
      if (!wanted.includes(url) && !stream.isFollowed) {
        stream.close();
        this.replicaStreams.delete(url);
      }
    }
  }

  private open(url: string): void {
    const stream: ReplicaStream = {close: () => {}, isFollowed: false};
    this.replicaStreams.set(url, stream);
    stream.close = openLineStream({
      url: new URL(FLEET_PATH, url),
      agent: this.options.agent,
      headers: {[KNOWN_VERSIONS_HEADER]: this.view.versionsDigest},
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      onMessage: (message, bytes) => {
        this.options.onReceived(url, bytes);
        this.handleMessage(url, stream, message);
      },
      onEnd: reason => this.handleLoss(url, stream, reason),
    });
  }

  private handleMessage(
    url: string,
    stream: ReplicaStream,
    raw: unknown,
  ): void {
    const {events} = this.options;
    const {findings, message} = readFleetMessage(raw);
    if (findings.length > 0) {
      const reason = formatFindings(findings);
      events.record('announcement-rejected', {replica: url, reason});
    }
    if (message.whole) {
      stream.isFollowed = true;
      this.confirmed = true;
      events.record('fleet-followed', {replica: url});
    }
    const {recordedVersions = []} = message;
    // Versions are only ever added, and replicas apply them one after the other.
    if (recordedVersions.length > this.recorded.length) {
      this.recorded = recordedVersions;
    }
    this.options.onChange(this.view.applyMessage(url, message));
    if (message.whole) {
      this.updateStreams();
    }
    if (message.deployment !== undefined) {
      this.fetcher.announce(url, message.deployment);
    }
    if (message.crashRecords !== undefined) {
      const areAll = message.whole === true;
      this.options.onCrashRecords(url, message.crashRecords, areAll);
    }
    if (message.softwareVersions !== undefined) {
      this.followedOnce.add(url);
      const isComplete = this.view.replicas.every(replica =>
        this.followedOnce.has(replica),
      );
      const {softwareVersions} = message;
      this.options.onSoftwareVersions(url, softwareVersions, isComplete);
    }
    if (message.limits !== undefined) {
      const areAll = message.whole === true;
      this.options.onLimits(url, message.limits, areAll);
    }
  }

  private async requestDeployment(
    replica: string,
    request: DeploymentRequest,
    timeoutMs: number,
  ): Promise<DeploymentTransfer> {
    const answer = await exchangeJson({
      url: new URL(DEPLOYMENT_TRANSFER_PATH, replica),
      body: request,
      agent: this.options.agent,
      signal: AbortSignal.timeout(timeoutMs),
      maxAnswerBytes: MAX_TRANSFER_BYTES,
    });
    const transfer = DEPLOYMENT_TRANSFER_SCHEMA.parse(answer);
    const bytes = transfer.content?.length ?? 0;
    this.options.onReceived(replica, bytes);
    this.options.events.record('deployment-received', {
      replica,
      revision: transfer.deployment?.revision ?? 'none',
      bytes,
      isDelta: transfer.isDelta === true,
    });
    return transfer;
  }

  private handleDeployment(deployment: DeploymentText): void {
    if (this.view.applyDeployment(deployment).hasNewDeployment) {
      this.applier.apply(deployment);
    }
  }

  private handleLoss(url: string, stream: ReplicaStream, reason: string): void {
    if (stream.isFollowed) {
      this.options.events.record('fleet-lost', {replica: url, reason});
    }
    this.unfollowedMs(performance.now());
    stream.isFollowed = false;
    this.fetcher.forget(url);
    this.view.markSourceLost(url, performance.now());
    const retry = setTimeout(() => {
      this.retries.delete(retry);
      if (this.replicaStreams.get(url) === stream && !this.isStopped) {
        this.replicaStreams.delete(url);
        this.updateStreams();
      }
    }, RETRY_DELAY_MS);
    this.retries.add(retry);
  }
}
