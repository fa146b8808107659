import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {Result} from 'true-myth';
import {
  COMMIT_ANNOUNCE_MS,
  EMPTY_CONFIGURATION,
  isVoter,
  majority,
  replicasOf,
  type Batch,
  type Configuration,
  type Consensus,
  type Entry,
  type Message,
} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, toFault} from '@marigoldspur/faults';
import {
  ReplicaLink,
  type Delivery,
  type DeliveryAnswer,
  type ReplicaIdentity,
  type ReplicaService,
} from '@marigoldspur/log-links';
import type {LogStorage} from '@marigoldspur/log-storage';
import {BatchWriter} from './batch-writer.js';
import {PendingProposals} from './pending-proposals.js';
import {PendingReads} from './pending-reads.js';
import {RepairDesk} from './repair-desk.js';
import type {
  LogStatus,
  ReplicatedLog,
  ReplicaStatus,
  StateMachine,
} from './replicated-log.js';

/** Settings of a replica, all filled in. */
export interface ReplicaSettings {
  /** Base URL of this replica. */
  readonly url: string;
  /** Base URLs of all replicas. */
  readonly peers: readonly string[];
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
export interface ReplicaParts<Command, Answer> {
  readonly machine: StateMachine<Command, Answer>;
  readonly consensus: Consensus;
  readonly storage: LogStorage;
}

const TICK_MS = 50;
const REPAIR_MS = 250;
const READ_RETRY_MS = 250;
const ANSWER_WAIT_MS = 500;
const SNAPSHOT_RETRY_MS = 5_000;
const MAX_COMMAND_BYTES = 16_777_216;

/** Runs one replica: its clock, disk and links around its decisions. */
export class LogReplica<Command, Answer>
  implements ReplicatedLog<Command, Answer>, ReplicaService
{
  private readonly consensus: Consensus;
  private readonly proposals: PendingProposals<Answer>;
  private readonly reads: PendingReads;
  private readonly writer: BatchWriter;
  private readonly repairs: RepairDesk;
  private readonly links = new Map<string, ReplicaLink>();
  /** URLs of replicas by identity, as their deliveries state them. */
  private readonly senders = new Map<string, string>();
  private readonly timers: NodeJS.Timeout[];
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private pumping = false;
  private stopping = false;
  private ready = false;
  private savingSnapshot = false;
  private snapshotIndex: number;
  private snapshotRetryAt = 0;
  private seenLeader: string | undefined;
  private wasLeader = false;
  private announcedCommit = 0;

  constructor(
    private readonly parts: ReplicaParts<Command, Answer>,
    private readonly settings: ReplicaSettings,
  ) {
    const {consensus, storage} = parts;
    this.consensus = consensus;
    this.snapshotIndex = consensus.compactedTo.index;
    this.configuration = consensus.compactedTo.configuration;
    this.proposals = new PendingProposals(settings.proposeTimeoutMs);
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
    this.repairs = new RepairDesk({
      consensus,
      url: settings.url,
      peers: settings.peers,
      bootstrap: settings.bootstrap,
      silenceMs: settings.electionTimeoutMs,
      events: settings.events,
      identify: url => this.linkTo(url).identity(),
    });
    this.timers = [
      setInterval(() => this.tick(), TICK_MS),
      setInterval(() => this.tickSlowly(), REPAIR_MS),
    ];
  }

  async propose(command: Command): Promise<Result<Answer, Fault>> {
    const refusal = this.refusal();
    if (refusal !== undefined) {
      return Result.err(refusal);
    }
    const bytes = Buffer.byteLength(JSON.stringify(command));
    if (bytes > MAX_COMMAND_BYTES) {
      const reason = `a command is over ${MAX_COMMAND_BYTES} bytes`;
      return Result.err(new Fault('TOO_LARGE', reason));
    }
    const position = this.consensus.propose(command, bytes, performance.now());
    if (position === undefined) {
      return Result.err(this.notLeader());
    }
    const answer = this.proposals.add(position);
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
    const {consensus} = this;
    return {
      role: this.role(),
      term: consensus.term,
      leaderUrl: this.leaderUrl(),
      commitIndex: consensus.commitIndex,
      lastIndex: consensus.lastIndex,
      voters: consensus.configuration.voters.map(voter => voter.id),
      replica: consensus.id,
      group: consensus.group,
      appliedIndex: consensus.appliedIndex,
      replicas: this.replicas(),
      diskFull: this.writer.diskFull,
    };
  }

  identity(): ReplicaIdentity {
    return {id: this.consensus.id, group: this.consensus.group};
  }

  async deliver(delivery: Delivery): Promise<DeliveryAnswer> {
    const {from} = delivery;
    if (!this.settings.peers.includes(from.url)) {
      return {...this.identity(), messages: []};
    }
    this.senders.set(from.id, from.url);
    const messages = await this.linkTo(from.url).answer(async () => {
      this.take(delivery.messages);
      await Promise.race([this.writer.flushed(), delay(ANSWER_WAIT_MS)]);
    });
    return {...this.identity(), messages};
  }

  async stop(): Promise<void> {
    this.stopping = true;
    await this.leave();
    this.timers.forEach(timer => clearInterval(timer));
    await this.writer.stop();
    this.proposals.failOthers(undefined);
    this.reads.fail(new Fault('STOPPING', 'the replica is stopping'));
    this.links.forEach(link => link.close());
    this.settings.agent.destroy();
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
    this.saveSnapshotWhenDue(now);
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
    this.offerSnapshot(now);
    this.consensus.takeMessages(now).forEach(message => this.send(message));
    this.applyCommitted();
    this.answerReads();
    this.noteLeader();
    this.announceCommits();
    this.writer.start();
  }

  /** Comes back once commits are to be told that no entry has carried. */
  private announceCommits(): void {
    const {role, commitIndex} = this.consensus;
    if (role === 'leader' && commitIndex > this.announcedCommit) {
      this.announcedCommit = commitIndex;
      setTimeout(() => this.pump(), COMMIT_ANNOUNCE_MS + 1).unref();
    }
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

  private send(message: Message): void {
    const url = this.urlOf(message.to);
    if (url !== undefined && url !== this.settings.url) {
      this.linkTo(url).push(message);
    }
  }

  private synced(batch: Batch): void {
    const now = performance.now();
    for (const message of batch.messages) {
      if (message.to === this.consensus.id) {
        this.consensus.step(message, now);
      } else {
        this.send(message);
      }
    }
    this.pump();
  }

  private linkTo(url: string): ReplicaLink {
    const known = this.links.get(url);
    if (known !== undefined) {
      return known;
    }
    const link = new ReplicaLink({
      from: {id: this.consensus.id, url: this.settings.url},
      url,
      agent: this.settings.agent,
      timeoutMs: this.settings.electionTimeoutMs,
      onAnswer: answer => this.takeAnswer(url, answer),
    });
    this.links.set(url, link);
    return link;
  }

  private takeAnswer(url: string, answer: DeliveryAnswer): void {
    this.repairs.sighted(url, answer, performance.now());
    this.take(answer.messages);
  }

  private urlOf(id: string): string | undefined {
    const replicas = replicasOf(this.consensus.configuration);
    const known = replicas.find(replica => replica.id === id);
    return known?.url ?? this.senders.get(id);
  }

  // The state machine.

  private applyCommitted(): void {
    const {snapshot, entries} = this.consensus.takeApplicable();
    if (snapshot !== undefined) {
      this.parts.machine.restore(snapshot.data);
      this.snapshotIndex = snapshot.index;
      this.configuration = snapshot.configuration;
      const {index} = snapshot;
      this.settings.events.record('snapshot-installed', {index});
    }
    entries.forEach(entry => this.apply(entry));
    this.reads.applied(this.consensus.appliedIndex);
  }

  private apply(entry: Entry): void {
    switch (entry.content.kind) {
      case 'command': {
        const command = entry.content.command as Command;
        this.proposals.applied(entry, this.parts.machine.apply(command));
        return;
      }
      case 'configuration': {
        const {configuration} = entry.content;
        this.repairs.committed(this.configuration, configuration, entry.index);
        this.configuration = configuration;
        return;
      }
      case 'no-op':
    }
  }

  private answerReads(): void {
    const {confirmed} = this.consensus.takeReads();
    confirmed.forEach(({key, index}) => this.reads.confirmed(key, index));
    this.reads.applied(this.consensus.appliedIndex);
  }

  private offerSnapshot(now: number): void {
    if (this.consensus.wantsSnapshot) {
      const place = this.consensus.appliedPlace();
      const data = this.parts.machine.snapshot();
      this.consensus.offerSnapshot({...place, data}, now);
    }
  }

  private saveSnapshotWhenDue(now: number): void {
    const fresh = this.consensus.appliedIndex - this.snapshotIndex;
    if (
      fresh >= this.settings.snapshotEntries &&
      !this.savingSnapshot &&
      now >= this.snapshotRetryAt
    ) {
      this.savingSnapshot = true;
      void this.saveSnapshot(now).finally(() => {
        this.savingSnapshot = false;
      });
    }
  }

  private async saveSnapshot(now: number): Promise<void> {
    const place = this.consensus.appliedPlace();
    const data = this.parts.machine.snapshot();
    try {
      await this.parts.storage.saveSnapshot({...place, data});
    } catch (thrown) {
      if (!(thrown instanceof Fault) || thrown.code !== 'DISK_FULL') {
        this.fail(thrown);
        return;
      }
      this.snapshotRetryAt = now + SNAPSHOT_RETRY_MS;
      return;
    }
    this.snapshotIndex = Math.max(this.snapshotIndex, place.index);
    this.consensus.compact(
      place.index - this.settings.keptEntries,
      performance.now(),
    );
    const {index} = place;
    const {length} = data;
    this.settings.events.record('snapshot-saved', {index, length});
  }

  // Leadership.

  private refusal(): Fault | undefined {
    if (this.consensus.role !== 'leader' || this.stopping) {
      return this.notLeader();
    }
    if (this.writer.diskFull) {
      return new Fault('DISK_FULL', 'the disk of the leader is full');
    }
    const copies = this.consensus.configuration.voters.length;
    if (copies < majority(this.settings.peers.length)) {
      return new Fault('NO_QUORUM', `only ${copies} replicas count as voters`);
    }
    return undefined;
  }

  private notLeader(): Fault {
    const url = this.leaderUrl();
    return new Fault(
      'NOT_LEADER',
      url === this.settings.url ? '' : (url ?? ''),
    );
  }

  private leaderUrl(): string | undefined {
    const {leaderId} = this.consensus;
    return leaderId === undefined ? undefined : this.urlOf(leaderId);
  }

  private noteLeader(): void {
    const {consensus} = this;
    const isLeader = consensus.role === 'leader';
    this.proposals.failOthers(isLeader ? consensus.term : undefined);
    const {leaderId, term} = consensus;
    if (this.wasLeader && !isLeader) {
      this.settings.events.record('leadership-lost', {term});
    }
    if (leaderId !== undefined && `${leaderId} ${term}` !== this.seenLeader) {
      this.seenLeader = `${leaderId} ${term}`;
      const name = isLeader ? 'leadership-won' : 'leader-followed';
      const leader = this.leaderUrl() ?? '';
      this.settings.events.record(name, {leader, term});
    }
    this.wasLeader = isLeader;
  }

  /** Hands leadership over, and gives it time to arrive. */
  private async leave(): Promise<void> {
    if (!this.consensus.handOver(performance.now())) {
      return;
    }
    this.settings.events.record('leadership-handed-over', {
      term: this.consensus.term,
    });
    const deadline = performance.now() + this.settings.electionTimeoutMs;
    this.pump();
    while (this.wasLeader && performance.now() < deadline) {
      await delay(TICK_MS);
    }
  }

  private role(): LogStatus['role'] {
    const {consensus} = this;
    if (consensus.role === 'leader' || consensus.role === 'candidate') {
      return consensus.role;
    }
    return isVoter(consensus.configuration, consensus.id)
      ? 'follower'
      : 'learner';
  }

  private replicas(): ReplicaStatus[] {
    const {configuration, lastIndex, id: own} = this.consensus;
    return replicasOf(configuration).map(({id, url}) => ({
      id,
      url,
      role: isVoter(configuration, id) ? 'voter' : 'learner',
      matchIndex: id === own ? lastIndex : this.consensus.progressOf(id)?.match,
    }));
  }

  // The disk.

  private noteDisk(full: boolean): void {
    this.settings.events.record(full ? 'disk-full' : 'disk-has-room');
    if (full) {
      this.consensus.handOver(performance.now());
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
