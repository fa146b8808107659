import type {Configuration} from './configuration.js';
import type {ConsensusOptions} from './consensus-options.js';
import {Elections} from './elections.js';
import type {LogPosition, Snapshot, SnapshotMetadata} from './entry.js';
import {AppendHandler} from './append-handler.js';
import {Leadership} from './leadership.js';
import type {Message} from './messages.js';
import type {Progress} from './progress.js';
import type {ReadResults} from './read-result-buffer.js';
import type {
  CommittedUpdate,
  WriteBatch,
  RecoveredState,
  Role,
} from './replica-types.js';
import {ReplicaState} from './replica-state.js';
import {SafetyRules} from './safety-rules.js';

/** Entries that are kept at most for replicas that receive a snapshot. */
const MAX_HELD_ENTRIES = 100_000;

/**
 * The decisions of one replica after Raft (Ongaro, 2014) with pre-vote, quorum
 * check, read index, learners and one-at-a-time change of voters. It owns no
 * clock, disk or socket: each deciding method takes the present time in
 * milliseconds, and what is to be sent, synced and applied is taken from it.
 */
export class Consensus {
  private readonly state: ReplicaState;
  private readonly elections: Elections;
  private readonly followerLog: AppendHandler;
  /** There while this replica leads. */
  private leadership: Leadership | undefined;

  constructor(
    private readonly options: ConsensusOptions,
    recovered: RecoveredState,
    now: number,
    private readonly rules = new SafetyRules(),
  ) {
    this.state = new ReplicaState(options.id, recovered);
    this.elections = new Elections(this.state, options, rules, now);
    this.followerLog = new AppendHandler(this.state);
  }

  get id(): string {
    return this.state.id;
  }

  get role(): Role {
    return this.state.role;
  }

  get term(): number {
    return this.state.term;
  }

  get group(): string {
    return this.state.group;
  }

  /** Identity of the leader, where known. */
  get leaderId(): string | undefined {
    return this.state.leaderId;
  }

  get commitIndex(): number {
    return this.state.commitIndex;
  }

  get appliedIndex(): number {
    return this.state.appliedIndex;
  }

  get lastIndex(): number {
    return this.state.log.last.index;
  }

  /** The place before the first entry that is still held. */
  get compactedTo(): SnapshotMetadata {
    return this.state.log.compactedTo;
  }

  /** The configuration in effect. */
  get configuration(): Configuration {
    return this.state.configuration;
  }

  /** Whether the configuration in effect is committed. */
  get isConfigurationCommitted(): boolean {
    return this.state.isConfigurationCommitted;
  }

  /** Whether the leader committed an entry of its own term. */
  get isLeaderReady(): boolean {
    return this.leadership?.isReady ?? false;
  }

  /** When `tick` and `takeMessages` are next to be called, if nothing else happens. */
  get dueAt(): number {
    return this.leadership?.dueAt ?? this.elections.dueAt;
  }

  /** The term of an entry; undefined where it is compacted away or not there. */
  termAt(index: number): number | undefined {
    return this.state.log.termAt(index);
  }

  /** What this leader knows about a replica. */
  progressOf(id: string): Readonly<Progress> | undefined {
    return this.leadership?.progressOf(id);
  }

  /** Forms a new group with this replica as its only voter. */
  bootstrap(group: string, url: string, now: number): void {
    if (this.group !== '' || this.lastIndex > 0) {
      throw new Error('only an empty replica can form a group');
    }
    const configuration = {voters: [{id: this.id, url}], learners: []};
    this.state.updateHardState({group, term: 1, vote: ''});
    this.state.appendEntries([
      {
        index: 1,
        term: 1,
        bytes: 0,
        content: {kind: 'configuration', configuration},
      },
    ]);
    this.elections.campaignOnNextTick(now);
  }

  /** Acts on the passing of time. */
  tick(now: number): void {
    const {leadership} = this;
    if (leadership === undefined) {
      this.elections.tick(now);
    } else if (
      this.rules.checksQuorum() &&
      !leadership.isInContactWithMajority(now)
    ) {
      this.follow(this.term, undefined, now);
    } else {
      leadership.tick(now);
    }
  }

  /** Takes a message. */
  step(message: Message, now: number): void {
    if (message.to !== this.id || !this.acceptsGroup(message)) {
      return;
    }
    if (message.kind === 'pre-vote') {
      this.elections.stepPreVote(message, now);
      return;
    }
    if (message.kind === 'pre-vote-answer' && message.granted) {
      this.elections.stepPreVoteGranted(message, now);
      return;
    }
    if (
      message.kind === 'vote' &&
      this.elections.shouldIgnoreVote(message, now)
    ) {
      return;
    }
    if (message.term > this.term) {
      this.follow(message.term, undefined, now);
    }
    if (message.term < this.term) {
      this.answerStale(message);
      return;
    }
    this.stepCurrent(message, now);
  }

  /** Appends a command; undefined where this replica takes none. `bytes` is its size as JSON. */
  propose(
    command: unknown,
    bytes: number,
    now: number,
  ): LogPosition | undefined {
    const {leadership} = this;
    if (leadership === undefined || leadership.isTransferring) {
      return undefined;
    }
    return leadership.append({kind: 'command', command}, bytes, now);
  }

  /** Changes the configuration, by one voter at a time; false where that must wait. */
  changeConfiguration(configuration: Configuration, now: number): boolean {
    const {leadership} = this;
    if (
      leadership === undefined ||
      !leadership.isReady ||
      !this.isConfigurationCommitted ||
      !this.rules.isSafeVoterChange(this.configuration, configuration)
    ) {
      return false;
    }
    leadership.append({kind: 'configuration', configuration}, 0, now);
    return true;
  }

  /** Starts a fresh read; its index comes with `takeReads` under `key`. */
  read(key: string): void {
    if (this.leadership !== undefined) {
      this.leadership.addRead(this.id, key);
    } else if (this.leaderId !== undefined) {
      this.state.send(this.leaderId, {kind: 'read', key});
    } else {
      this.state.reads.fail([key]);
    }
  }

  /** Reads whose index is confirmed, and keys of reads that failed. */
  takeReadResults(): ReadResults {
    return this.state.reads.take();
  }

  /** Hands leadership to the voter that is furthest; false where there is none. */
  transferLeadership(now: number): boolean {
    return this.leadership?.startTransfer(now) ?? false;
  }

  /** Messages that may go out at once. */
  takeMessages(now: number): Message[] {
    this.leadership?.sendPending(now);
    return this.state.outbox.takeMessages();
  }

  /** Whether `takeBatch` has something. */
  get hasBatch(): boolean {
    return this.state.outbox.hasBatch;
  }

  /** What is to be synced next; call `synced` with it before taking another. */
  takeBatch(): WriteBatch | undefined {
    return this.state.outbox.takeBatch(this.state.log.last);
  }

  /** A batch is on the disk; its messages may go out, those to oneself through `step`. */
  markSynced(batch: WriteBatch): void {
    this.state.markSynced(batch);
  }

  /** Committed and synced content that the state machine has not seen yet. */
  takeCommitted(): CommittedUpdate {
    return this.state.takeCommitted();
  }

  /** Where a snapshot of the state machine as applied now would stand. */
  snapshotMetadata(): SnapshotMetadata {
    return this.state.snapshotMetadata();
  }

  /**
   * Drops entries that a durable snapshot covers, but for those that a replica
   * which receives a snapshot needs after it.
   */
  compact(index: number, now: number): void {
    const needed = this.leadership?.compactionLimit(now) ?? Infinity;
    const heldTooMany = index - this.compactedTo.index > MAX_HELD_ENTRIES;
    const limit = heldTooMany ? Infinity : needed;
    this.state.log.compact(Math.min(index, this.appliedIndex, limit));
  }

  /** Whether a replica needs a snapshot that `offerSnapshot` should give. */
  get needsSnapshot(): boolean {
    return this.leadership?.needsSnapshot ?? false;
  }

  /** Gives a snapshot to be transferred to replicas that are too far behind. */
  provideSnapshot(snapshot: Snapshot, now: number): void {
    this.leadership?.provideSnapshot(snapshot, now);
  }

  private acceptsGroup(message: Message): boolean {
    if (message.group === this.group) {
      return this.group !== '';
    }
    const leads = message.kind === 'append' || message.kind === 'snapshot-part';
    if (this.group !== '' || !leads) {
      return false;
    }
    this.state.updateHardState({group: message.group});
    return true;
  }

  private stepCurrent(message: Message, now: number): void {
    switch (message.kind) {
      case 'vote':
        return this.elections.stepVote(message, now);
      case 'vote-answer':
        if (this.elections.stepVoteAnswer(message)) {
          this.lead(now);
        }
        return;
      case 'append':
        this.followLeader(message.from, now);
        return this.followerLog.stepAppend(message);
      case 'append-answer':
        this.leadership?.stepAppendAnswer(message, now);
        return this.resignWhereRemoved(now);
      case 'snapshot-part':
        this.followLeader(message.from, now);
        return this.followerLog.stepSnapshotPart(message);
      case 'snapshot-answer':
        return this.leadership?.stepSnapshotAnswer(message, now);
      case 'read':
        return this.leadership?.addRead(message.from, message.key);
      case 'read-answer': {
        const {key, index} = message;
        return this.state.reads.confirm({from: this.id, key, index});
      }
      case 'hand-over':
        if (this.leadership === undefined) {
          this.elections.startTransferElection(now);
        }
        return;
      case 'pre-vote':
      case 'pre-vote-answer':
    }
  }

  /** Tells the sender of an earlier term about the present one. */
  private answerStale(message: Message): void {
    const {from} = message;
    switch (message.kind) {
      case 'append':
      case 'snapshot-part': {
        const body = {kind: 'append-answer', matched: false} as const;
        this.state.sendAfterSync(from, {...body, index: 0, round: 0});
        return;
      }
      case 'vote':
        this.state.sendAfterSync(from, {kind: 'vote-answer', granted: false});
    }
  }

  // Changes of role.

  private lead(now: number): void {
    const {state, options, rules} = this;
    state.role = 'leader';
    state.leaderId = this.id;
    this.leadership = new Leadership(state, options, rules, now);
  }

  private follow(term: number, leader: string | undefined, now: number): void {
    this.leadership?.stepDown();
    this.leadership = undefined;
    this.elections.becomeFollower(term, leader, now);
  }

  private followLeader(leader: string, now: number): void {
    if (this.role !== 'follower' || this.leaderId !== leader) {
      this.follow(this.term, leader, now);
    }
    this.elections.recordLeaderContact(now);
  }

  private resignWhereRemoved(now: number): void {
    if (this.leadership?.isRemoved) {
      this.follow(this.term, undefined, now);
    }
  }
}
