import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Result} from 'true-myth';
import {
  replicasOf,
  type WriteBatch,
  type Consensus,
  type Message,
} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, toFault} from '@marigoldspur/faults';
import type {
  Delivery,
  DeliveryAnswer,
  RequesterIdentity,
  ReplicaIdentity,
  ReplicaService,
} from '@marigoldspur/replica-transport';
import type {LogStorage} from '@marigoldspur/log-storage';
import {BatchWriter} from './batch-writer.js';
import {DiskEvents} from './disk-events.js';
import {LeaderTracker} from './leader-tracker.js';
import {LinkRegistry} from './link-registry.js';
import {logStatus} from './log-status.js';
import {StateMachineApplier} from './state-machine-applier.js';
import type {PeerRegistry} from './peer-registry.js';
import {PendingProposals} from './pending-proposals.js';
import {PendingReads} from './pending-reads.js';
import {ProposalHandler} from './proposal-handler.js';
import {GroupReconciler} from './group-reconciler.js';
import type {LogStatus, ReplicatedLog, StateMachine} from './replicated-log.js';
import {SnapshotManager} from './snapshot-manager.js';
import {WakeTimer} from './wake-timer.js';

/** Settings of a replica, with defaults applied. */
export interface ReplicaSettings {
  readonly peers: PeerRegistry;
  readonly bootstrap: boolean;
  /** Whether this replica replaces one whose damaged files were set aside. */
  readonly isReplacement: boolean;
  readonly electionTimeoutMs: number;
  readonly proposeTimeoutMs: number;
  /** Number of applied entries after which a snapshot is saved. */
  readonly snapshotEntries: number;
  /** Size of the applied entries after which a snapshot is saved, in bytes. */
  readonly snapshotBytes: number;
  /** Number of entries before a snapshot that are kept for lagging replicas. */
  readonly keptEntries: number;
  /** Maximum size of the kept entries together, in bytes. */
  readonly keptBytes: number;
  readonly events: EventLog;
  /** Agent for connections to the other replicas. */
  readonly agent: http.Agent;
  /** Called if the content of the disk is unknown. The process must exit. */
  readonly onFatal: (fault: Fault) => void;
}

/** Components that a replica runs on. */
export interface ReplicaComponents<Command, Answer> {
  readonly machine: StateMachine<Command, Answer>;
  readonly consensus: Consensus;
  readonly storage: LogStorage;
}

const TRANSFER_POLL_MS = 50;
/** Interval of repairs, snapshots and the readiness check. */
const PERIODIC_INTERVAL_MS = 250;
const READ_RETRY_MS = 250;
/** Longest time that the answer to a delivery waits for writes to be synced. */
const MAX_ANSWER_DELAY_MS = 500;

/**
 * Runs one replica: connects its consensus state machine to timers, storage and links.
 */
export class LogReplica<Command, Answer>
  implements ReplicatedLog<Command, Answer>, ReplicaService
{
  private readonly consensus: Consensus;
  private readonly proposals: PendingProposals<Answer>;
  private readonly proposalHandler: ProposalHandler<Command, Answer>;
  private readonly reads: PendingReads;
  private readonly writer: BatchWriter;
  private readonly diskEvents: DiskEvents;
  private readonly reconciler: GroupReconciler;
  private readonly links: LinkRegistry;
  private readonly snapshots: SnapshotManager;
  private readonly leaderTracker: LeaderTracker;
  private readonly applier: StateMachineApplier<Command, Answer>;
  private readonly wakeTimer = new WakeTimer(() => this.tick());
  private readonly periodicTimer: NodeJS.Timeout;
  private isProcessingScheduled = false;
  private isStopping = false;
  /** Whether a read barrier has succeeded since startup. */
  private caughtUp = false;

  constructor(
    private readonly components: ReplicaComponents<Command, Answer>,
    private readonly settings: ReplicaSettings,
  ) {
    const {consensus, storage} = components;
    this.consensus = consensus;
    this.diskEvents = new DiskEvents(settings.events);
    this.proposals = new PendingProposals(settings.proposeTimeoutMs);
    this.proposalHandler = new ProposalHandler({
      consensus,
      proposals: this.proposals,
      url: settings.peers.ownUrl,
      desiredVoters: () => settings.peers.desiredVoters,
      leaderUrl: () => this.leaderUrl(),
      diskRefusal: () => this.writer.diskRefusal,
      isStopping: () => this.isStopping,
    });
    this.reads = new PendingReads({
      timeoutMs: settings.proposeTimeoutMs,
      retryMs: READ_RETRY_MS,
    });
    this.writer = new BatchWriter({
      consensus,
      storage,
      onSynced: batch => this.handleSynced(batch),
      onDiskChange: refusal => this.handleDiskChange(refusal),
      onFatal: thrown => this.fail(thrown),
    });
    this.links = new LinkRegistry({
      consensus,
      url: settings.peers.ownUrl,
      agent: settings.agent,
      timeoutMs: settings.electionTimeoutMs,
      onAnswer: (url, answer) => this.handleAnswer(url, answer),
    });
    this.snapshots = new SnapshotManager({
      consensus,
      storage,
      serializeState: () => components.machine.snapshot(),
      snapshotEntries: settings.snapshotEntries,
      snapshotBytes: settings.snapshotBytes,
      keptEntries: settings.keptEntries,
      keptBytes: settings.keptBytes,
      events: settings.events,
      onFatal: thrown => this.fail(thrown),
    });
    this.leaderTracker = new LeaderTracker({
      consensus,
      leaderUrl: () => this.leaderUrl(),
      events: settings.events,
    });
    this.reconciler = new GroupReconciler({
      consensus,
      peers: settings.peers,
      bootstrap: settings.bootstrap && !settings.isReplacement,
      contactTimeoutMs: settings.electionTimeoutMs,
      events: settings.events,
      fetchIdentity: (url, from) =>
        this.links.getOrCreateLink(url).fetchIdentity(from),
    });
    this.applier = new StateMachineApplier({
      machine: components.machine,
      consensus,
      onAnswer: (position, answer) =>
        this.proposals.resolveApplied(position, answer),
      onConfiguration: (before, after, index) =>
        this.reconciler.recordCommittedChange(before, after, index),
      onInstalled: index => this.snapshots.recordInstalled(index),
    });
    this.periodicTimer = setInterval(
      () => this.runPeriodicTasks(),
      PERIODIC_INTERVAL_MS,
    );
    this.scheduleTick(performance.now());
  }

  propose(command: Command): Promise<Result<Answer, Fault>> {
    const answer = this.proposalHandler.propose(command, performance.now());
    this.scheduleProcessing();
    return answer;
  }

  readBarrier(): Promise<Result<undefined, Fault>> {
    const answer = this.reads.add(
      key => this.consensus.read(key),
      performance.now(),
    );
    this.scheduleProcessing();
    return answer;
  }

  isReady(): boolean {
    return this.caughtUp && !this.isStopping && this.leaderUrl() !== undefined;
  }

  status(): LogStatus {
    return logStatus(this.consensus, {
      leaderUrl: this.leaderUrl(),
      diskFull: this.writer.diskRefusal?.code === 'DISK_FULL',
      diskFailed: this.writer.diskRefusal?.code === 'DISK_FAILED',
    });
  }

  identity(from?: RequesterIdentity): ReplicaIdentity {
    const {consensus, settings} = this;
    if (from !== undefined) {
      this.reconciler.recordDiscovered(from.url, from, performance.now());
    }
    const known = settings.peers.allowsUnlistedPeers
      ? {known: replicasOf(consensus.configuration).map(({url}) => url)}
      : {};
    return {
      id: consensus.id,
      group: consensus.group,
      ...(settings.isReplacement && {isReplacement: true}),
      ...known,
    };
  }

  setSeedUrls(urls: readonly string[]): void {
    this.settings.peers.replaceSeeds(urls);
  }

  async deliver(delivery: Delivery): Promise<DeliveryAnswer> {
    const {from} = delivery;
    if (!this.settings.peers.isAllowed(from.url)) {
      return {...this.identity(), messages: []};
    }
    this.links.recordSender(from);
    const messages = await this.links
      .getOrCreateLink(from.url)
      .handleDelivery(async () => {
        this.stepMessages(delivery.messages);
        await this.writer.flushWithin(MAX_ANSWER_DELAY_MS);
      });
    return {...this.identity(), messages};
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.transferLeadership();
    clearInterval(this.periodicTimer);
    this.wakeTimer.stop();
    await this.snapshots.stop();
    await this.writer.stop();
    this.proposals.failOtherTerms(undefined);
    this.reads.failAll(new Fault('STOPPING', 'the replica is stopping'));
    this.links.close();
    await this.components.storage.close();
  }

  // Timers.

  private tick(): void {
    const now = performance.now();
    this.consensus.tick(now);
    this.reads.tick(key => this.consensus.read(key), now);
    this.processOutput();
  }

  private runPeriodicTasks(): void {
    const now = performance.now();
    if (!this.isStopping) {
      this.reconciler.tick(now);
    }
    this.snapshots.saveIfDue(now);
    if (!this.caughtUp && this.consensus.leaderId !== undefined) {
      void this.readBarrier().then(barrier => {
        this.caughtUp ||= barrier.isOk;
      });
    }
    this.processOutput();
  }

  /**
   * Schedules `processOutput` once for all commands and reads of this event loop turn.
   */
  private scheduleProcessing(): void {
    if (!this.isProcessingScheduled) {
      this.isProcessingScheduled = true;
      setImmediate(() => {
        this.isProcessingScheduled = false;
        this.processOutput();
      });
    }
  }

  /** Sends the pending messages, applies committed entries and starts pending writes. */
  private processOutput(): void {
    const now = performance.now();
    this.snapshots.provideIfNeeded(now);
    this.consensus
      .takeMessages(now)
      .forEach(message => this.links.send(message));
    this.applier.applyCommitted();
    this.resolveReads();
    this.updateLeader();
    this.writer.start();
    this.scheduleTick(now);
  }

  /** Schedules the next `tick`. */
  private scheduleTick(now: number): void {
    this.wakeTimer.wakeBy(this.consensus.dueAt, now);
    this.wakeTimer.wakeBy(this.reads.dueAt(now), now);
  }

  // Messages.

  private stepMessages(messages: readonly Message[]): void {
    const now = performance.now();
    this.consensus.tick(now);
    for (const message of messages) {
      this.consensus.step(message, now);
    }
    this.processOutput();
  }

  private handleSynced(batch: WriteBatch): void {
    const now = performance.now();
    for (const message of batch.messages) {
      if (message.to === this.consensus.id) {
        this.consensus.step(message, now);
      } else {
        this.links.send(message);
      }
    }
    this.processOutput();
  }

  private handleAnswer(url: string, answer: DeliveryAnswer): void {
    this.reconciler.recordDiscovered(url, answer, performance.now());
    this.stepMessages(answer.messages);
  }

  private resolveReads(): void {
    const {confirmed} = this.consensus.takeReadResults();
    confirmed.forEach(({key, index}) => this.reads.confirm(key, index));
    this.reads.resolveApplied(this.consensus.appliedIndex);
  }

  // Leadership.

  private leaderUrl(): string | undefined {
    const {leaderId} = this.consensus;
    return leaderId === undefined ? undefined : this.links.urlOf(leaderId);
  }

  private updateLeader(): void {
    const {role, term} = this.consensus;
    this.proposals.failOtherTerms(role === 'leader' ? term : undefined);
    this.leaderTracker.update();
  }

  /**
   * Transfers leadership and waits up to an election timeout for the transfer to
   * complete.
   */
  private async transferLeadership(): Promise<void> {
    if (!this.consensus.transferLeadership(performance.now())) {
      return;
    }
    this.settings.events.record('leadership-handed-over', {
      term: this.consensus.term,
    });
    const deadline = performance.now() + this.settings.electionTimeoutMs;
    this.processOutput();
    while (this.leaderTracker.isLeader && performance.now() < deadline) {
      await delay(TRANSFER_POLL_MS);
    }
  }

  // Disk faults.

  private handleDiskChange(refusal: Fault | undefined): void {
    this.diskEvents.record(refusal);
    if (refusal !== undefined) {
      this.consensus.transferLeadership(performance.now());
      this.processOutput();
    }
  }

  private fail(thrown: unknown): void {
    const fault = toFault(thrown);
    const reason = fault.message;
    this.settings.events.record('log-write-failed', {reason});
    this.settings.onFatal(fault);
  }
}
