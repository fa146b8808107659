import {Result} from 'true-myth';
import {withTimeout} from '@marigoldspur/abort-signals';
import {CrashLedger, RequestCrashLedger} from '@marigoldspur/crash-attribution';
import type {
  CrashRecords,
  DeploymentConfirmation,
  DeploymentRequest,
  DeploymentText,
  DeploymentTransfer,
  NamedVersion,
  ServiceVersion,
  StreamOrigin,
  TargetAnnouncement,
  TargetIncarnation,
  VersionEvidence,
} from '@marigoldspur/deployment';
import type {
  DeploymentState,
  ReplaceOutcome,
} from '@marigoldspur/deployment-state';
import {DeploymentArchive} from '@marigoldspur/deployment-transfer';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {MemoryBudget} from '@marigoldspur/memory-budget';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import {
  SoftwareVersionHistory,
  StreamOriginLedger,
} from '@marigoldspur/stream-origins';
import {TargetRegistry} from '@marigoldspur/target-registry';
import {FleetStreamServer} from './fleet-stream-server.js';
import {RequestLimiter} from './request-limiter.js';
import {SharedBarrier} from './shared-barrier.js';

/** Commits commands, whichever replica receives them. */
export interface FleetCommands {
  /** Resolves once the deployment is committed or superseded by a higher revision. */
  replaceDeployment(
    deployment: DeploymentText,
  ): Promise<Result<ReplaceOutcome, Fault>>;
  /** Resolves once the named version of an adapter is committed. */
  nameVersion(named: NamedVersion): Promise<Result<undefined, Fault>>;
  /** Resolves once it is committed that targets of a service have a software version. */
  recordSoftwareVersion(
    version: ServiceVersion,
  ): Promise<Result<undefined, Fault>>;
  /** Grants a fencing number higher than all earlier ones of the target. */
  grantFence(target: string): Promise<Result<number, Fault>>;
}

/** Options of a fleet manager. */
export interface FleetManagerOptions {
  readonly deployments: DeploymentState;
  readonly log: Pick<ReplicatedLog<unknown, unknown>, 'readBarrier' | 'status'>;
  readonly commands: FleetCommands;
  /** Limits what followers have not read; no limit if absent. */
  readonly memory?: Pick<MemoryBudget, 'reserve'>;
  readonly events: EventLog;
}

/** Tolerates three lost announcements before a target counts as silent. */
const SILENT_AFTER_MS = 4_500;
/** A late announcement arrives within seconds; one minute leaves room for network partitions. */
const END_RETENTION_MS = 60_000;
const SILENCE_CHECK_INTERVAL_MS = 500;
/** Shorter than one second, after which callers try another replica. */
const CONFIRM_TIMEOUT_MS = 900;
/** Bounds the load of confirmations, however many entries ask for them. */
const CONFIRM_INTERVAL_MS = 100;

/** Handles requests of operators and targets at one replica of control and notifies the entries. */
export class FleetManager {
  readonly streamServer: FleetStreamServer;
  /** Grants permits for targets with a request limit. */
  readonly limiter: RequestLimiter;
  private readonly targets = new TargetRegistry({
    silentAfterMs: SILENT_AFTER_MS,
    endRetentionMs: END_RETENTION_MS,
  });
  private readonly archive: DeploymentArchive;
  private readonly crashLedger = new CrashLedger();
  private readonly requestCrashLedger = new RequestCrashLedger();
  private readonly streamOrigins = new StreamOriginLedger();
  private readonly softwareVersions = new SoftwareVersionHistory(
    performance.now(),
  );
  /** IDs of targets that followers do not know yet. */
  private readonly undisclosed = new Set<string>();
  /** IDs of targets whose software versions are being committed. */
  private readonly recording = new Set<string>();
  private readonly confirmations = new SharedBarrier({
    run: () => this.confirmState(),
    intervalMs: CONFIRM_INTERVAL_MS,
  });
  private readonly silenceTimer: NodeJS.Timeout;

  constructor(private readonly options: FleetManagerOptions) {
    const {deployments, log} = options;
    this.limiter = new RequestLimiter({
      events: options.events,
      onLimits: limits => this.streamServer.broadcastLimits(limits),
    });
    this.archive = new DeploymentArchive(() => deployments.deployment);
    this.streamServer = new FleetStreamServer({
      deployments,
      archive: this.archive,
      targets: {
        targets: () =>
          this.targets.targets().filter(target => this.isDisclosed(target)),
        ended: () => this.targets.ended(),
      },
      crashRecords: () => this.crashRecords(performance.now()),
      limits: () => this.limiter.limits(performance.now()),
      softwareVersions: () => this.softwareVersions.snapshot(performance.now()),
      confirm: async () => (await this.confirmState()).isOk,
      replicas: () => log.status().replicas.map(({url}) => url),
      memory: options.memory,
      events: options.events,
    });
    this.silenceTimer = setInterval(
      () => this.removeSilentTargets(performance.now()),
      SILENCE_CHECK_INTERVAL_MS,
    );
  }

  /** Activates a deployment; resolves once it is durable or superseded by a higher revision. */
  async replaceDeployment(
    deployment: DeploymentText,
  ): Promise<Result<ReplaceOutcome, Fault>> {
    const replaced = await this.options.commands.replaceDeployment(deployment);
    const {revision} = deployment;
    this.options.events.record('deployment-answered', {
      revision,
      outcome: replaced.isOk ? replaced.value : replaced.error.code,
    });
    return replaced;
  }

  /** Returns the active deployment, no older than the call; fails with `NO_QUORUM` if no quorum answers. */
  async readDeployment(): Promise<Result<DeploymentText | undefined, Fault>> {
    const confirmed = await this.confirmState();
    return confirmed.map(() => this.options.deployments.deployment);
  }

  /** Returns the revision of the active deployment, no older than the call at time `now`. */
  async confirmDeployment(
    now: number,
  ): Promise<Result<DeploymentConfirmation, Fault>> {
    const confirmed = await this.confirmations.request(now);
    return confirmed.map(() => ({
      revision: this.options.deployments.deployment?.revision ?? null,
    }));
  }

  /** Answers an entry that asks for the active deployment. */
  transferDeployment(request: DeploymentRequest): DeploymentTransfer {
    return this.archive.answer(request);
  }

  /** Names a new version of an adapter. */
  async nameVersion(named: NamedVersion): Promise<Result<undefined, Fault>> {
    const done = await this.options.commands.nameVersion(named);
    const {model, adapter = '', version} = named;
    this.options.events.record('version-answered', {
      model,
      adapter,
      version,
      outcome: done.isOk ? 'named' : done.error.code,
    });
    return done;
  }

  /** Handles an announcement of a target; sends changes to the followers before it returns. */
  announce(announcement: TargetAnnouncement, now: number): void {
    const outcome = this.targets.announce(announcement, now);
    const known = this.targets.find(announcement.id);
    if (outcome === 'changed' && known !== undefined) {
      const {address, bornAt, id, leaving, service, softwareVersion} = known;
      this.softwareVersions.record(this.targets.targets(), now);
      this.options.events.record('target-announced', {
        target: id,
        bornAt,
        service,
        address,
        version: softwareVersion ?? 'unknown',
        leaving,
      });
    }
    if (known !== undefined && !this.isDisclosed(known)) {
      void this.discloseTarget(known);
    } else if (outcome === 'changed' && known !== undefined) {
      this.streamServer.broadcastTarget(known);
    }
  }

  /** Sends what has changed in the replicated log to all followers. */
  handleDeploymentChange(): void {
    this.streamServer.broadcastDeployment();
    for (const id of this.undisclosed) {
      const target = this.targets.find(id);
      if (target === undefined || this.isDisclosed(target)) {
        this.undisclosed.delete(id);
        if (target !== undefined) {
          this.streamServer.broadcastTarget(target);
        }
      }
    }
  }

  /** Withdraws targets that said in an answer to an entry that they leave. */
  recordLeaves(targets: readonly TargetIncarnation[]): void {
    for (const target of targets) {
      const changed = this.targets.recordLeave(target);
      if (changed !== undefined) {
        const {bornAt, id} = changed;
        this.options.events.record('target-leave-stated', {target: id, bornAt});
        this.streamServer.broadcastTarget(changed);
      }
    }
  }

  /** Remembers the origins of streams that an entry relays. */
  addStreamOrigins(origins: readonly StreamOrigin[], now: number): void {
    this.streamOrigins.add(origins, now);
    this.softwareVersions.recordOrigins(origins, now);
  }

  /** Returns the origin of the stream that a call began; undefined if it is not known. */
  findStreamOrigin(call: string): StreamOrigin | undefined {
    return this.streamOrigins.find(call);
  }

  /** Returns what is known of the software versions of a service, no older than the call. */
  async findVersionEvidence(service: string): Promise<VersionEvidence> {
    const {deployments, log} = this.options;
    const state = await this.confirmState();
    const {observedMs, versions} = this.softwareVersions.snapshot(
      performance.now(),
    );
    const isOfService = (version: ServiceVersion) =>
      version.service === service;
    return {
      ...(state.isOk && {
        confirmed: {
          versions: deployments.recordedSoftwareVersions().filter(isOfService),
          replicas: log.status().replicas.map(({url}) => url),
        },
      }),
      recent: {observedMs, versions: versions.filter(isOfService)},
    };
  }

  /** Handles a target's notice that it ends. */
  leave(id: string, now: number): void {
    const incarnation = this.targets.leave(id, now);
    this.softwareVersions.record(this.targets.targets(), now);
    if (incarnation !== undefined) {
      this.options.events.record('target-ended', {target: id});
      this.streamServer.broadcastTargetEnd(incarnation);
    }
  }

  /** Keeps the crash records of an entry and sends the new ones to all followers. */
  addCrashRecords(records: CrashRecords, now: number): void {
    const added = {
      ...this.crashLedger.add(records, now),
      ...this.requestCrashLedger.add(records, now),
    };
    const counts = {
      reports: added.reports.length,
      sightings: added.sightings.length,
      requestCrashes: added.requestCrashes.length,
      requestSightings: added.requestSightings.length,
    };
    if (Object.values(counts).some(count => count > 0)) {
      this.options.events.record('crash-records-added', counts);
      this.streamServer.broadcastCrashRecords(added);
    }
  }

  /** Whether followers may know a target: its software version is in the replicated log. */
  private isDisclosed(target: TargetAnnouncement): boolean {
    return this.options.deployments.isSoftwareVersionRecorded(target);
  }

  /** Has the software version of a target committed, after which followers learn of the target. */
  private async discloseTarget({
    id,
    service,
    softwareVersion,
  }: TargetAnnouncement): Promise<void> {
    this.undisclosed.add(id);
    if (this.recording.has(id)) {
      return;
    }
    this.recording.add(id);
    const {commands, events} = this.options;
    const version = {service, softwareVersion};
    const recorded = await commands.recordSoftwareVersion(version);
    this.recording.delete(id);
    if (recorded.isErr) {
      // The next announcement of the target tries again.
      events.record('software-version-unrecorded', {
        service,
        version: softwareVersion ?? 'unknown',
        target: id,
        reason: recorded.error.message,
      });
    }
  }

  private crashRecords(now: number): CrashRecords {
    return {
      ...this.crashLedger.records(now),
      ...this.requestCrashLedger.records(now),
    };
  }

  /** Ends all streams and the checks for silent targets. */
  stop(): void {
    clearInterval(this.silenceTimer);
    this.limiter.stop();
    this.streamServer.stop();
  }

  private removeSilentTargets(now: number): void {
    const silent = this.targets.removeSilent(now);
    this.softwareVersions.record(this.targets.targets(), now);
    for (const {id} of silent) {
      this.options.events.record('target-silent', {target: id});
    }
    this.streamServer.broadcastSilentTargets(silent);
  }

  private confirmState(): Promise<Result<undefined, Fault>> {
    return withTimeout(
      this.options.log.readBarrier(),
      CONFIRM_TIMEOUT_MS,
      quorumTimeout,
    );
  }
}

function quorumTimeout(): Result<undefined, Fault> {
  return Result.err(new Fault('NO_QUORUM', 'no quorum answered in time'));
}
