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
} from '@marigoldspur/log-links';
import type {LogStorage} from '@marigoldspur/log-storage';
import {BatchWriter} from './batch-writer.js';
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

/** Settings of a replica, all filled in. */
export interface ReplicaSettings {
  readonly peers: PeerRegistry;
  readonly bootstrap: boolean;
  readonly electionTimeoutMs: number;
  readonly proposeTimeoutMs: number;
  /** Applied entries after which a snapshot is saved. */
  readonly snapshotEntries: number;
  /** Entries kept after a snapshot for replicas that lag. */
  readonly keptEntries: number;
  readonly events: EventLog;
  /** Connections to the other replicas. */
  readonly agent: http.Agent;
  /** The process must end: what is on its disk is unknown. */
  readonly onFatal: (fault: Fault) => void;
}

/** What a replica is made of. */
export interface ReplicaComponents<Command, Answer> {
  readonly machine: StateMachine<Command, Answer>;
  readonly consensus: Consensus;
  readonly storage: LogStorage;
}

const HAND_OVER_POLL_MS = 50;
const REPAIR_MS = 250;
const READ_RETRY_MS = 250;
const ANSWER_WAIT_MS = 500;

/** Runs one replica: its clock, disk and links around its decisions. */
export class LogReplica<Command, Answer>
  implements ReplicatedLog<Command, Answer>, ReplicaService
{
  private readonly consensus: Consensus;
  private readonly proposals: PendingProposals<Answer>;
  private readonly desk: ProposalHandler<Command, Answer>;
  private readonly reads: PendingReads;
  private readonly writer: BatchWriter;
  private readonly repairs: GroupReconciler;
  private readonly links: LinkRegistry;
  private readonly snapshots: SnapshotManager;
  private readonly leaderWatch: LeaderTracker;
  private readonly driver: StateMachineApplier<Command, Answer>;
  private readonly clock = new WakeTimer(() => this.tick());
  private readonly repairTimer: NodeJS.Timeout;
  private pumping = false;
  private stopping = false;
  private ready = false;

  constructor(
    private readonly parts: ReplicaComponents<Command, Answer>,
    private readonly settings: ReplicaSettings,
  ) {
    const {consensus, storage} = parts;
    this.consensus = consensus;
    this.proposals = new PendingProposals(settings.proposeTimeoutMs);
    this.desk = new ProposalHandler({
      consensus,
      proposals: this.proposals,
      url: settings.peers.ownUrl,
      desiredVoters: () => settings.peers.desiredVoters,
      leaderUrl: () => this.leaderUrl(),
      isDiskFull: () => this.writer.isDiskFull,
      isStopping: () => this.stopping,
    });
    this.reads = new PendingReads({
      timeoutMs: settings.proposeTimeoutMs,
      retryMs: READ_RETRY_MS,
    });
    this.writer = new BatchWriter({
      consensus,
      storage,
      onSynced: batch => this.synced(batch),
      onDiskFull: full => this.noteDisk(full),
      onFatal: thrown => this.fail(thrown),
    });
    this.links = new LinkRegistry({
      consensus,
      url: settings.peers.ownUrl,
      agent: settings.agent,
      timeoutMs: settings.electionTimeoutMs,
      onAnswer: (url, answer) => this.takeAnswer(url, answer),
    });
    this.snapshots = new SnapshotManager({
      consensus,
      storage,
      serializeState: () => parts.machine.snapshot(),
      snapshotEntries: settings.snapshotEntries,
      keptEntries: settings.keptEntries,
      events: settings.events,
      onFatal: thrown => this.fail(thrown),
    });
    this.leaderWatch = new LeaderTracker({
      consensus,
      leaderUrl: () => this.leaderUrl(),
      events: settings.events,
    });
    this.repairs = new GroupReconciler({
      consensus,
      peers: settings.peers,
      bootstrap: settings.bootstrap,
      learnerTimeoutMs: settings.electionTimeoutMs,
      events: settings.events,
      fetchIdentity: (url, from) => this.links.linkTo(url).fetchIdentity(from),
    });
    this.driver = new StateMachineApplier({
      machine: parts.machine,
      consensus,
      onAnswer: (position, answer) =>
        this.proposals.resolveApplied(position, answer),
      onConfiguration: (before, after, index) =>
        this.repairs.recordCommittedChange(before, after, index),
      onInstalled: index => this.snapshots.recordInstalled(index),
    });
    this.repairTimer = setInterval(() => this.tickSlowly(), REPAIR_MS);
    this.keepTime(performance.now());
  }

  propose(command: Command): Promise<Result<Answer, Fault>> {
    const answer = this.desk.propose(command, performance.now());
    this.schedule();
    return answer;
  }

  readBarrier(): Promise<Result<undefined, Fault>> {
    const answer = this.reads.add(
      key => this.consensus.read(key),
      performance.now(),
    );
    this.schedule();
    return answer;
  }

  isReady(): boolean {
    return this.ready && !this.stopping && this.leaderUrl() !== undefined;
  }

  status(): LogStatus {
    return logStatus(this.consensus, {
      leaderUrl: this.leaderUrl(),
      diskFull: this.writer.isDiskFull,
    });
  }

  identity(from?: RequesterIdentity): ReplicaIdentity {
    const {consensus, settings} = this;
    if (from !== undefined) {
      this.repairs.recordDiscovered(from.url, from, performance.now());
    }
    const known = settings.peers.allowsUnlistedPeers
      ? {known: replicasOf(consensus.configuration).map(({url}) => url)}
      : {};
    return {id: consensus.id, group: consensus.group, ...known};
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
      .linkTo(from.url)
      .handleDelivery(async () => {
        this.take(delivery.messages);
        await this.writer.flushWithin(ANSWER_WAIT_MS);
      });
    return {...this.identity(), messages};
  }

  async stop(): Promise<void> {
    this.stopping = true;
    await this.leave();
    clearInterval(this.repairTimer);
    this.clock.stop();
    await this.writer.stop();
    this.proposals.failOtherTerms(undefined);
    this.reads.failAll(new Fault('STOPPING', 'the replica is stopping'));
    this.links.close();
    await this.parts.storage.close();
  }

  // The clock.

  private tick(): void {
    const now = performance.now();
    this.consensus.tick(now);
    this.reads.tick(key => this.consensus.read(key), now);
    this.pump();
  }

  private tickSlowly(): void {
    const now = performance.now();
    if (!this.stopping) {
      this.repairs.tick(now);
    }
    this.snapshots.saveIfDue(now);
    if (!this.ready && this.consensus.leaderId !== undefined) {
      void this.readBarrier().then(barrier => {
        this.ready ||= barrier.isOk;
      });
    }
    this.pump();
  }

  /** Acts once on everything that arrives in this turn of the event loop. */
  private schedule(): void {
    if (!this.pumping) {
      this.pumping = true;
      setImmediate(() => {
        this.pumping = false;
        this.pump();
      });
    }
  }

  /** Sends, applies and syncs what the decisions so far ask for. */
  private pump(): void {
    const now = performance.now();
    this.snapshots.provideIfNeeded(now);
    this.consensus
      .takeMessages(now)
      .forEach(message => this.links.send(message));
    this.driver.applyCommitted();
    this.answerReads();
    this.noteLeader();
    this.writer.start();
    this.keepTime(now);
  }

  /** Sees to it that `tick` runs when something is due. */
  private keepTime(now: number): void {
    this.clock.wakeBy(this.consensus.dueAt, now);
    this.clock.wakeBy(this.reads.dueAt(now), now);
  }

  // Messages.

  private take(messages: readonly Message[]): void {
    const now = performance.now();
    this.consensus.tick(now);
    for (const message of messages) {
      this.consensus.step(message, now);
    }
    this.pump();
  }

  private synced(batch: WriteBatch): void {
    const now = performance.now();
    for (const message of batch.messages) {
      if (message.to === this.consensus.id) {
        this.consensus.step(message, now);
      } else {
        this.links.send(message);
      }
    }
    this.pump();
  }

  private takeAnswer(url: string, answer: DeliveryAnswer): void {
    this.repairs.recordDiscovered(url, answer, performance.now());
    this.take(answer.messages);
  }

  private answerReads(): void {
    const {confirmed} = this.consensus.takeReadResults();
    confirmed.forEach(({key, index}) => this.reads.confirm(key, index));
    this.reads.resolveApplied(this.consensus.appliedIndex);
  }

  // Leadership.

  private leaderUrl(): string | undefined {
    const {leaderId} = this.consensus;
    return leaderId === undefined ? undefined : this.links.urlOf(leaderId);
  }

  private noteLeader(): void {
    const {role, term} = this.consensus;
    this.proposals.failOtherTerms(role === 'leader' ? term : undefined);
    this.leaderWatch.update();
  }

  /** Hands leadership over, and gives it time to arrive. */
  private async leave(): Promise<void> {
    if (!this.consensus.transferLeadership(performance.now())) {
      return;
    }
    this.settings.events.record('leadership-handed-over', {
      term: this.consensus.term,
    });
    const deadline = performance.now() + this.settings.electionTimeoutMs;
    this.pump();
    while (this.leaderWatch.isLeader && performance.now() < deadline) {
      await delay(HAND_OVER_POLL_MS);
    }
  }

  // The disk.

  private noteDisk(full: boolean): void {
    this.settings.events.record(full ? 'disk-full' : 'disk-has-room');
    if (full) {
      this.consensus.transferLeadership(performance.now());
      this.pump();
    }
  }

  private fail(thrown: unknown): void {
    const fault = toFault(thrown);
    const reason = fault.message;
    this.settings.events.record('log-write-failed', {reason});
    this.settings.onFatal(fault);
  }
}
