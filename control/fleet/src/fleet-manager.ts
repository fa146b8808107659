import {Result} from 'true-myth';
import {withTimeout} from '@marigoldspur/bounded-signal';
import type {
  DeploymentText,
  NamedVersion,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {
  DeploymentState,
  ReplaceOutcome,
} from '@marigoldspur/deployment-state';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import {TargetRegistry} from '@marigoldspur/target-registry';
import {FleetStreamServer} from './fleet-stream-server.js';

/** Commits what is sent to any replica. */
export interface FleetCommands {
  /** Resolves once the deployment is committed, or overtaken by a higher revision. */
  replaceDeployment(
    deployment: DeploymentText,
  ): Promise<Result<ReplaceOutcome, Fault>>;
  nameVersion(named: NamedVersion): Promise<Result<undefined, Fault>>;
  /** Gives a number that is higher than any given for the target before. */
  grantFence(target: string): Promise<Result<number, Fault>>;
}

/** What a fleet desk works with. */
export interface FleetManagerOptions {
  readonly deployments: DeploymentState;
  readonly log: Pick<ReplicatedLog<unknown, unknown>, 'readBarrier' | 'status'>;
  readonly commands: FleetCommands;
  readonly events: EventLog;
}

/** Three announcements may be lost before a target counts as silent. */
const SILENT_AFTER_MS = 4_500;
/** A late announcement arrives within seconds; a minute leaves room for cuts. */
const REMEMBER_MS = 60_000;
const SILENCE_CHECK_MS = 500;
/** Callers turn to another replica after a second. */
const CONFIRM_TIMEOUT_MS = 900;

/** Answers operators and targets at one replica of control, and tells the entries. */
export class FleetManager {
  readonly streams: FleetStreamServer;
  private readonly targets = new TargetRegistry({
    silentAfterMs: SILENT_AFTER_MS,
    endRetentionMs: REMEMBER_MS,
  });
  private readonly silenceCheck: NodeJS.Timeout;

  constructor(private readonly options: FleetManagerOptions) {
    const {deployments, log} = options;
    this.streams = new FleetStreamServer({
      deployments,
      targets: this.targets,
      confirm: async () => (await this.confirmed()).isOk,
      replicas: () => log.status().replicas.map(({url}) => url),
    });
    this.silenceCheck = setInterval(
      () => this.checkSilence(performance.now()),
      SILENCE_CHECK_MS,
    );
  }

  /** Puts a deployment in force; resolves once it can't be lost, or a higher one is in force. */
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

  /** The deployment in force, no older than the call; `NO_QUORUM` where that can't be known. */
  async deployment(): Promise<Result<DeploymentText | undefined, Fault>> {
    const confirmed = await this.confirmed();
    return confirmed.map(() => this.options.deployments.deployment);
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

  /** Takes what a target says of itself, and passes on what is new before it returns. */
  announce(announcement: TargetAnnouncement, now: number): void {
    const outcome = this.targets.announce(announcement, now);
    if (outcome === 'changed') {
      const {id, bornAt, service, address, leaving} = announcement;
      this.options.events.record('target-announced', {
        target: id,
        bornAt,
        service,
        address,
        leaving,
      });
      this.streams.targetChanged(announcement);
    }
  }

  /** A target says that it ends. */
  leave(id: string, now: number): void {
    const life = this.targets.leave(id, now);
    if (life !== undefined) {
      this.options.events.record('target-ended', {target: id});
      this.streams.targetEnded(life);
    }
  }

  stop(): void {
    clearInterval(this.silenceCheck);
    this.streams.stop();
  }

  private checkSilence(now: number): void {
    const silent = this.targets.removeSilent(now);
    for (const {id} of silent) {
      this.options.events.record('target-silent', {target: id});
    }
    this.streams.targetsSilent(silent);
  }

  private confirmed(): Promise<Result<undefined, Fault>> {
    return withTimeout(
      this.options.log.readBarrier(),
      CONFIRM_TIMEOUT_MS,
      noQuorum,
    );
  }
}

function noQuorum(): Result<undefined, Fault> {
  return Result.err(new Fault('NO_QUORUM', 'no quorum answered in time'));
}
