import type http from 'node:http';
import {
  adapterName,
  digestVersions,
  KNOWN_VERSIONS_HEADER,
  FLEET_MAX_INTERVAL_MS,
  type CrashRecords,
  type FleetMessage,
  type NamedVersion,
  type ServiceVersion,
  type SoftwareVersions,
  type TargetAnnouncement,
  type TargetIncarnation,
  type TargetLimit,
} from '@marigoldspur/deployment';
import type {DeploymentArchive} from '@marigoldspur/deployment-transfer';
import type {DeploymentState} from '@marigoldspur/deployment-state';
import type {EventLog} from '@marigoldspur/event-log';
import {MemoryBudget, UNLIMITED} from '@marigoldspur/memory-budget';
import type {TargetRegistry} from '@marigoldspur/target-registry';
import {FollowerQueue} from './follower-queue.js';

/** Options of a fleet stream server. */
export interface FleetStreamServerOptions {
  readonly deployments: DeploymentState;
  /** Answers requests for the text of the active deployment. */
  readonly archive: Pick<DeploymentArchive, 'head'>;
  readonly targets: Pick<TargetRegistry, 'ended' | 'targets'>;
  /** Returns all crash records of this replica. */
  readonly crashRecords: () => CrashRecords;
  /** Returns all request limits that this replica knows. */
  readonly limits: () => TargetLimit[];
  /** Returns the software versions that targets had lately. */
  readonly softwareVersions: () => SoftwareVersions;
  /** Resolves to whether a quorum confirms this replica's applied state. */
  readonly confirm: () => Promise<boolean>;
  /** Base URLs of all replicas. */
  readonly replicas: () => readonly string[];
  /** Limits what all followers together have not read; no limit if absent. */
  readonly memory?: Pick<MemoryBudget, 'reserve'>;
  readonly events: EventLog;
}

interface Follower {
  readonly response: http.ServerResponse;
  readonly queue: FollowerQueue;
  /** Digest of the named versions that it knew when it began to follow, if it stated one. */
  readonly knownVersions: string | undefined;
  /** Whether the full state was sent, after which changes are sent. */
  isSynced: boolean;
}

/** The state as followers share it, until it changes. */
interface SharedState {
  /** Digest of its named versions. */
  readonly versions: string;
  /** With all named versions. */
  whole?: Buffer;
  /** For followers that know its named versions. */
  withoutVersions?: Buffer;
}

/** A follower with more unread bytes than this is disconnected; it may reconnect. */
const MAX_UNREAD_BYTES = 4_194_304;
const KEEPALIVE = toLine({});
/** Delay before a failed quorum confirmation is retried, in milliseconds. */
const CONFIRM_RETRY_DELAY_MS = 50;
/** Time without progress after which a follower gives way to others, in milliseconds. */
const STALL_MS = 3_000;

/**
 * Streams a replica's view of the fleet as newline-delimited JSON: the full state once a
 * quorum has confirmed it, then each change immediately, and a keepalive message every
 * `FLEET_MAX_INTERVAL_MS`.
 */
export class FleetStreamServer {
  private readonly followers = new Set<Follower>();
  /** Followers whose state there was no memory for, the longest waiting one first. */
  private readonly waiting = new Set<Follower>();
  private readonly memory: Pick<MemoryBudget, 'reserve'>;
  /** The state as it was sent last; undefined once it has changed. Followers share it. */
  private state: SharedState | undefined;
  private readonly timer: NodeJS.Timeout;
  /** Revision of the last broadcast deployment. */
  private sentRevision = -1;
  /** Last broadcast version of each adapter. */
  private readonly sentVersions = new Map<string, number>();
  /** Number of software versions in the last broadcast. */
  private sentSoftwareVersions = 0;
  /** Last broadcast base URLs of the replicas, separated by spaces. */
  private sentReplicas = '';

  constructor(private readonly options: FleetStreamServerOptions) {
    this.memory =
      options.memory ??
      new MemoryBudget({limit: UNLIMITED, heapBytes: () => 0});
    this.timer = setInterval(
      () => this.sendKeepalives(),
      FLEET_MAX_INTERVAL_MS,
    );
  }

  /** Handles a request to `FLEET_PATH`. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    const reservation = this.memory.reserve('fleet', 0);
    if (reservation === undefined) {
      response.destroy();
      return;
    }
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    const now = () => performance.now();
    const queue = new FollowerQueue({output: response, reservation, now});
    const stated = request.headers[KNOWN_VERSIONS_HEADER];
    const knownVersions = typeof stated === 'string' ? stated : undefined;
    const follower = {response, queue, knownVersions, isSynced: false};
    this.followers.add(follower);
    const end = () => {
      queue.end();
      this.waiting.delete(follower);
      if (this.followers.delete(follower)) {
        this.broadcastEntryCount();
      }
    };
    response.on('close', end);
    response.on('error', end);
    void this.sendState(follower);
  }

  /** Broadcasts what has changed in the replicated log since the last broadcast. */
  broadcastDeployment(): void {
    const {deployment} = this.options.deployments;
    const versions = this.takeNewVersions();
    const isNew =
      deployment !== undefined && deployment.revision > this.sentRevision;
    if (isNew) {
      this.sentRevision = deployment.revision;
    }
    const recordedVersions = this.takeNewSoftwareVersions();
    if (isNew || versions.length > 0 || recordedVersions !== undefined) {
      this.broadcast({
        ...(isNew && {deployment: this.options.archive.head()}),
        ...(versions.length > 0 && {versions}),
        ...(recordedVersions !== undefined && {recordedVersions}),
      });
    }
    if (isNew) {
      this.options.events.record('deployment-announced', {
        revision: deployment.revision,
        bytes: Buffer.byteLength(deployment.text),
        followers: this.followers.size,
        unreadBytes: this.unreadBytes,
      });
    }
  }

  /** Bytes that the followers have not read yet. */
  private get unreadBytes(): number {
    return [...this.followers].reduce(
      (sum, {queue}) => sum + queue.unreadBytes,
      0,
    );
  }

  /** Broadcasts the announcement of a target whose content has changed. */
  broadcastTarget(target: TargetAnnouncement): void {
    this.broadcast({targets: [target]});
  }

  /** Broadcasts that a target announced its end. */
  broadcastTargetEnd(incarnation: TargetIncarnation): void {
    this.broadcast({gone: [incarnation]});
  }

  /** Broadcasts that targets have stopped announcing themselves. */
  broadcastSilentTargets(incarnations: readonly TargetIncarnation[]): void {
    if (incarnations.length > 0) {
      this.broadcast({silent: [...incarnations]});
    }
  }

  /** Broadcasts crash records that are new to this replica. */
  broadcastCrashRecords(crashRecords: CrashRecords): void {
    this.broadcast({crashRecords});
  }

  /** Broadcasts request limits that are new to this replica. */
  broadcastLimits(limits: readonly TargetLimit[]): void {
    this.broadcast({limits: [...limits]});
  }

  /** Ends all streams. */
  stop(): void {
    clearInterval(this.timer);
    this.followers.forEach(follower => follower.response.destroy());
    this.followers.clear();
  }

  private sendKeepalives(): void {
    const replicas = [...this.options.replicas()];
    const text = replicas.join(' ');
    const changed = text !== this.sentReplicas;
    this.sentReplicas = text;
    const change = toLine({replicas});
    if (changed || this.waiting.size === 0) {
      this.state = undefined;
    }
    this.sendWaitingState();
    for (const follower of this.followers) {
      this.send(follower, follower.isSynced && changed ? change : KEEPALIVE);
    }
  }

  private async sendState(follower: Follower): Promise<void> {
    const confirmed = await this.options.confirm();
    if (!this.followers.has(follower)) {
      return;
    }
    if (!confirmed) {
      setTimeout(() => void this.sendState(follower), CONFIRM_RETRY_DELAY_MS);
      return;
    }
    this.waiting.add(follower);
    if (this.waiting.size === 1) {
      this.sendWaitingState();
    }
  }

  /** Sends the state to the waiting followers, as far as there is memory for it. */
  private sendWaitingState(): void {
    for (const follower of this.waiting) {
      this.state ??= {versions: this.digestVersions()};
      const form =
        follower.knownVersions === this.state.versions
          ? 'withoutVersions'
          : 'whole';
      // A state that cannot be held is not created: it may be large.
      if (!this.makeRoom(follower, this.state[form]?.length ?? 0)) {
        return;
      }
      this.state[form] ??= this.createState(form === 'whole');
      if (!this.push(follower, this.state[form])) {
        return;
      }
      this.waiting.delete(follower);
      follower.isSynced = true;
      this.broadcastEntryCount();
    }
  }

  private digestVersions(): string {
    const {deployments} = this.options;
    return digestVersions(
      deployments
        .namedVersions()
        .map(({adapter, model, version}) => [
          adapterName(model, adapter),
          version,
        ]),
    );
  }

  private createState(hasVersions: boolean): Buffer {
    const {archive, crashRecords, deployments, limits, replicas, targets} =
      this.options;
    return toLine({
      whole: true,
      deployment: archive.head(),
      ...(hasVersions && {versions: deployments.namedVersions()}),
      replicas: [...replicas()],
      targets: targets.targets(),
      gone: targets.ended(),
      crashRecords: crashRecords(),
      limits: limits(),
      softwareVersions: this.options.softwareVersions(),
      recordedVersions: [...deployments.recordedSoftwareVersions()],
    });
  }

  private broadcastEntryCount(): void {
    this.sendToSynced(toLine({entries: this.followers.size}));
  }

  private broadcast(message: FleetMessage): void {
    this.state = undefined;
    this.sendToSynced(toLine(message));
  }

  private sendToSynced(line: Buffer): void {
    for (const follower of this.followers) {
      if (follower.isSynced) {
        this.send(follower, line);
      }
    }
  }

  private send(follower: Follower, line: Buffer): void {
    const {isEnded, unreadBytes} = follower.queue;
    if (isEnded) {
      return;
    }
    if (unreadBytes > MAX_UNREAD_BYTES || !this.push(follower, line)) {
      this.drop(follower);
    }
  }

  /** Queues a line for a follower if there is memory for it; those that do not read give way. */
  private push(follower: Follower, line: Buffer): boolean {
    return this.makeRoom(follower, line.length) && follower.queue.push(line);
  }

  /** Whether there is memory for a line of `bytes`; stalled followers give way to it. */
  private makeRoom({queue}: Follower, bytes: number): boolean {
    while (!queue.canHold(bytes)) {
      const stalled = this.findStalled(performance.now());
      if (stalled === undefined || stalled.queue === queue) {
        return false;
      }
      this.drop(stalled);
    }
    return true;
  }

  /** Returns the follower that has not read for the longest time, if it has stalled at `now`. */
  private findStalled(now: number): Follower | undefined {
    let stalled: Follower | undefined;
    for (const follower of this.followers) {
      const {progressedAt} = follower.queue;
      const isLater = progressedAt >= (stalled?.queue.progressedAt ?? Infinity);
      if (now - progressedAt >= STALL_MS && !isLater) {
        stalled = follower;
      }
    }
    return stalled;
  }

  private drop({queue, response}: Follower): void {
    const {unreadBytes} = queue;
    this.options.events.record('fleet-follower-dropped', {unreadBytes});
    queue.end();
    response.destroy();
  }

  /** Returns all recorded software versions if there are new ones. */
  private takeNewSoftwareVersions(): ServiceVersion[] | undefined {
    const recorded = this.options.deployments.recordedSoftwareVersions();
    if (recorded.length === this.sentSoftwareVersions) {
      return undefined;
    }
    this.sentSoftwareVersions = recorded.length;
    return [...recorded];
  }

  private takeNewVersions(): NamedVersion[] {
    const changed = this.options.deployments
      .namedVersions()
      .filter(
        ({model, adapter, version}) =>
          this.sentVersions.get(adapterName(model, adapter)) !== version,
      );
    changed.forEach(({model, adapter, version}) =>
      this.sentVersions.set(adapterName(model, adapter), version),
    );
    return changed;
  }
}

function toLine(message: FleetMessage): Buffer {
  return Buffer.from(`${JSON.stringify(message)}\n`);
}
