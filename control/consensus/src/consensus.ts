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

/** Upper bound on entries retained for replicas that are receiving a snapshot. */
const MAX_RETAINED_ENTRIES = 100_000;

/**
 * The Raft state machine of one replica (Ongaro, 2014), with pre-vote, check
 * quorum, read index, learners and single-server membership changes. It performs
 * no I/O and reads no clock: methods that depend on time take the current time in
 * milliseconds, and the caller takes the messages to send, the writes to sync and
 * the entries to apply.
 */
export class Consensus {
  private readonly state: ReplicaState;
  private readonly elections: Elections;
  private readonly appendHandler: AppendHandler;
  /** Set while this replica is the leader. */
  private leadership: Leadership | undefined;

  constructor(
    private readonly options: ConsensusOptions,
    recovered: RecoveredState,
    now: number,
    private readonly rules = new SafetyRules(),
  ) {
    this.state = new ReplicaState(options.id, recovered);
    this.elections = new Elections(this.state, options, rules, now);
    this.appendHandler = new AppendHandler(this.state);
  }

  get id(): string {
    return this.state.id;
  }

  /** Role of this replica in its group. */
  get role(): Role {
    return this.state.role;
  }

  /** The current term; 0 before the first one. */
  get term(): number {
    return this.state.term;
  }

  /** ID of the group; empty until the replica joins one. */
  get group(): string {
    return this.state.group;
  }

  /** ID of the leader, if known. */
  get leaderId(): string | undefined {
    return this.state.leaderId;
  }

  /** Index of the last entry known to be committed. */
  get commitIndex(): number {
    return this.state.commitIndex;
  }

  /** Index of the last entry passed to the state machine, alone or in a snapshot. */
  get appliedIndex(): number {
    return this.state.appliedIndex;
  }

  /** Index of the last entry in the log, committed or not. */
  get lastIndex(): number {
    return this.state.log.last.index;
  }

  /** Position before the first retained entry, and the configuration at that position. */
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

  /** Whether this replica is the leader and has committed an entry of its own term. */
  get isLeaderReady(): boolean {
    return this.leadership?.isReady ?? false;
  }

  /**
   * When `tick` and `takeMessages` must be called next if no other event occurs, in
   * milliseconds.
   */
  get dueAt(): number {
    return this.leadership?.dueAt ?? this.elections.dueAt;
  }

  /** The term of an entry; undefined if the entry is compacted or does not exist. */
  termAt(index: number): number | undefined {
    return this.state.log.termAt(index);
  }

  /**
   * The replication progress of a replica; undefined unless this replica is the leader.
   */
  progressOf(id: string): Readonly<Progress> | undefined {
    return this.leadership?.progressOf(id);
  }

  /**
   * Forms a new group with this replica as its only voter. Throws if the replica already
   * belongs to a group or has log entries.
   */
  bootstrap(group: string, url: string, now: number): void {
    if (this.group !== '' || this.lastIndex > 0) {
      throw new Error(
        'a replica that belongs to a group or has log entries cannot form a group',
      );
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

  /** Handles timeouts: starts an election, sends a heartbeat or steps down. */
  tick(now: number): void {
    const {leadership} = this;
    if (leadership === undefined) {
      this.elections.tick(now);
    } else if (
      this.rules.checksQuorum() &&
      !leadership.isInContactWithMajority(now)
    ) {
      this.becomeFollower(this.term, undefined, now);
    } else {
      leadership.tick(now);
    }
  }

  /** Handles a message from another replica, or from this replica to itself. */
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
      this.becomeFollower(message.term, undefined, now);
    }
    if (message.term < this.term) {
      this.answerStale(message);
      return;
    }
    this.stepCurrent(message, now);
  }

  /**
   * Appends a command and returns its position; undefined if this replica is not the
   * leader or is transferring leadership. `bytes` is the size of the command as JSON.
   */
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

  /**
   * Appends a configuration that differs by at most one voter. Returns false if this
   * replica cannot append it now, for example because the previous configuration is
   * not committed yet.
   */
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

  /** Starts a linearizable read; `takeReadResults` returns its read index under `key`. */
  read(key: string): void {
    if (this.leadership !== undefined) {
      this.leadership.addRead(this.id, key);
    } else if (this.leaderId !== undefined) {
      this.state.send(this.leaderId, {kind: 'read', key});
    } else {
      this.state.readResults.addFailed([key]);
    }
  }

  /** Takes the reads whose index is confirmed and the keys of reads that failed. */
  takeReadResults(): ReadResults {
    return this.state.readResults.take();
  }

  /**
   * Transfers leadership to the most up-to-date voter; false if this replica is not the
   * leader or no other voter is reachable.
   */
  transferLeadership(now: number): boolean {
    return this.leadership?.startTransfer(now) ?? false;
  }

  /** Takes the messages that do not depend on a write and can be sent immediately. */
  takeMessages(now: number): Message[] {
    this.leadership?.sendPending(now);
    return this.state.outbox.takeMessages();
  }

  /** Whether `takeBatch` would return a batch. */
  get hasBatch(): boolean {
    return this.state.outbox.hasBatch;
  }

  /** Takes the next batch to sync; pass it to `markSynced` before taking another. */
  takeBatch(): WriteBatch | undefined {
    return this.state.outbox.takeBatch(this.state.log.last);
  }

  /**
   * Records that a batch is on disk. The caller then sends the messages of the batch and
   * passes those addressed to this replica to `step`.
   */
  markSynced(batch: WriteBatch): void {
    this.state.markSynced(batch);
  }

  /** Takes committed and synced content that the state machine has not applied yet. */
  takeCommitted(): CommittedUpdate {
    return this.state.takeCommitted();
  }

  /** Metadata for a snapshot of the state machine at the last applied entry. */
  snapshotMetadata(): SnapshotMetadata {
    return this.state.snapshotMetadata();
  }

  /**
   * Drops the entries that a durable snapshot covers, except those that a replica
   * needs after the snapshot it is currently receiving.
   */
  compact(index: number, now: number): void {
    const transferLimit = this.leadership?.compactionLimit(now) ?? Infinity;
    const retainsTooMany =
      index - this.compactedTo.index > MAX_RETAINED_ENTRIES;
    const limit = retainsTooMany ? Infinity : transferLimit;
    this.state.log.compact(Math.min(index, this.appliedIndex, limit));
  }

  /** Size of the commands that were applied after an index, in bytes. */
  appliedBytesSince(index: number): number {
    return this.state.log.bytesBetween(index, this.appliedIndex);
  }

  /**
   * The index up to which entries can be dropped so that of those up to `index` at most
   * `maxCount` are kept, together at most `maxBytes`.
   */
  compactionIndex(index: number, maxCount: number, maxBytes: number): number {
    return this.state.log.indexBefore(index, maxCount, maxBytes);
  }

  /**
   * Whether a replica needs a snapshot that the caller must pass to `provideSnapshot`.
   */
  get needsSnapshot(): boolean {
    return this.leadership?.needsSnapshot ?? false;
  }

  /** Supplies the snapshot to send to replicas whose next entry is compacted. */
  provideSnapshot(snapshot: Snapshot, now: number): void {
    this.leadership?.provideSnapshot(snapshot, now);
  }

  private acceptsGroup(message: Message): boolean {
    if (message.group === this.group) {
      return this.group !== '';
    }
    const isFromLeader =
      message.kind === 'append' || message.kind === 'snapshot-part';
    if (this.group !== '' || !isFromLeader) {
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
          this.becomeLeader(now);
        }
        return;
      case 'append':
        this.followLeader(message.from, now);
        return this.appendHandler.stepAppend(message);
      case 'append-answer':
        this.leadership?.stepAppendAnswer(message, now);
        return this.stepDownIfRemoved(now);
      case 'snapshot-part':
        this.followLeader(message.from, now);
        return this.appendHandler.stepSnapshotPart(message);
      case 'snapshot-answer':
        return this.leadership?.stepSnapshotAnswer(message, now);
      case 'read':
        return this.leadership?.addRead(message.from, message.key);
      case 'read-answer': {
        const {key, index} = message;
        return this.state.readResults.addConfirmed({from: this.id, key, index});
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

  /**
   * Replies to a message from an earlier term so that its sender learns the current
   * term.
   */
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

  // Role changes.

  private becomeLeader(now: number): void {
    const {state, options, rules} = this;
    state.role = 'leader';
    state.leaderId = this.id;
    this.leadership = new Leadership(state, options, rules, now);
  }

  private becomeFollower(
    term: number,
    leader: string | undefined,
    now: number,
  ): void {
    this.leadership?.stepDown();
    this.leadership = undefined;
    this.elections.becomeFollower(term, leader, now);
  }

  private followLeader(leader: string, now: number): void {
    if (this.role !== 'follower' || this.leaderId !== leader) {
      this.becomeFollower(this.term, leader, now);
    }
    this.elections.recordLeaderContact(now);
  }

  private stepDownIfRemoved(now: number): void {
    if (this.leadership?.isRemoved) {
      this.becomeFollower(this.term, undefined, now);
    }
  }
}
