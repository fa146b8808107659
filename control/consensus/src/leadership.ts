import type {ConsensusOptions} from './consensus-options.js';
import type {Entry, LogPosition, Snapshot} from './entry.js';
import {LeadershipTransfer} from './leadership-transfer.js';
import type {MessageOf} from './messages.js';
import {ProgressTracker} from './progress-tracker.js';
import type {Progress} from './progress.js';
import {ReadIndex} from './read-index.js';
import type {ReplicaState} from './replica-state.js';
import {Replication} from './replication.js';
import type {SafetyRules} from './safety-rules.js';
import {SnapshotSender} from './snapshot-sender.js';

/** The state and behavior of a leader during one term. */
export class Leadership {
  private readonly tracker = new ProgressTracker();
  private readonly snapshotSender: SnapshotSender;
  private readonly replication: Replication;
  private readonly reads: ReadIndex;
  private readonly transfer: LeadershipTransfer;
  /** Index of the first entry of the leader's term. */
  private readonly termStartIndex: number;
  private removed = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly rules: SafetyRules,
    now: number,
  ) {
    this.snapshotSender = new SnapshotSender(state, options, this.tracker);
    this.replication = new Replication(
      state,
      options,
      this.tracker,
      this.snapshotSender,
      now,
    );
    this.reads = new ReadIndex(state);
    this.transfer = new LeadershipTransfer(state, options, this.tracker);
    this.tracker.updateReplicas(state.configuration, state.log.last.index, now);
    this.termStartIndex = state.log.last.index + 1;
    this.append({kind: 'no-op'}, 0, now);
  }

  /** Whether an entry of the leader's own term is committed. */
  get isReady(): boolean {
    return this.state.commitIndex >= this.termStartIndex;
  }

  /** Whether a committed configuration no longer includes the leader as a voter. */
  get isRemoved(): boolean {
    return this.removed;
  }

  /** Whether a leadership transfer is in progress. */
  get isTransferring(): boolean {
    return this.transfer.isActive;
  }

  /**
   * Whether a replica needs a snapshot that the caller must pass to `provideSnapshot`.
   */
  get needsSnapshot(): boolean {
    return this.snapshotSender.needsSnapshot;
  }

  /** When `tick` and `sendPending` must be called next. */
  get dueAt(): number {
    return this.replication.dueAt;
  }

  /** The replication progress of a replica. */
  progressOf(id: string): Readonly<Progress> | undefined {
    return this.tracker.get(id);
  }

  /** Whether a majority has answered within the last election timeout. */
  isInContactWithMajority(now: number): boolean {
    const {configuration, id} = this.state;
    const since = now - this.options.electionTimeoutMs;
    return this.tracker.hasMajorityAnsweredSince(configuration, id, since);
  }

  /** Sends a heartbeat if one is due, and continues a leadership transfer. */
  tick(now: number): void {
    this.transfer.tick(now);
    if (this.replication.isHeartbeatDue(now)) {
      this.startRound(now);
    }
  }

  /**
   * Starts a heartbeat round if a read needs one, or else sends new entries and
   * commits.
   */
  sendPending(now: number): void {
    if (this.reads.needsRound(this.replication.round)) {
      this.startRound(now);
    } else {
      this.replication.sendPending(now);
    }
  }

  /** Appends an entry in the leader's term. */
  append(content: Entry['content'], bytes: number, now: number): LogPosition {
    const {state} = this;
    const position = {index: state.log.last.index + 1, term: state.term};
    state.appendEntries([{...position, bytes, content}]);
    this.tracker.updateReplicas(state.configuration, state.log.last.index, now);
    state.sendAfterSync(state.id, {
      kind: 'append-answer',
      matched: true,
      index: position.index,
      round: 0,
    });
    this.replication.scheduleAppend();
    return position;
  }

  /** Adds a read that replica `from` started. */
  addRead(from: string, key: string): void {
    this.reads.add(from, key, !this.isReady, this.replication.round);
  }

  /**
   * Transfers leadership to the most up-to-date voter; false if no other voter is
   * reachable.
   */
  startTransfer(now: number): boolean {
    return this.transfer.start(now);
  }

  /** Supplies the snapshot to send to replicas whose next entry is compacted. */
  provideSnapshot(snapshot: Snapshot, now: number): void {
    this.snapshotSender.provideSnapshot(snapshot, this.replication.round, now);
  }

  /** The last index that may be compacted while a replica is receiving a snapshot. */
  compactionLimit(now: number): number {
    return this.snapshotSender.compactionLimit(now);
  }

  /**
   * Records up to which index a replica matches and sends it the entries that it still
   * lacks, or earlier ones if the previous entry did not match.
   */
  stepAppendAnswer(message: MessageOf<'append-answer'>, now: number): void {
    const progress = this.tracker.recordAnswer(
      message.from,
      message.round,
      now,
    );
    if (progress === undefined) {
      return;
    }
    if (message.matched) {
      this.handleMatch(message.from, progress, message.index, now);
    } else if (progress.snapshot === undefined) {
      progress.nextIndex = Math.max(
        progress.matchIndex + 1,
        Math.min(progress.nextIndex, message.index + 1),
      );
      this.replication.sendAppend(message.from, progress, now, false);
    }
    if (!this.removed) {
      this.confirmReads();
    }
  }

  /** Records how much of a snapshot a replica has received and sends it the next part. */
  stepSnapshotAnswer(message: MessageOf<'snapshot-answer'>, now: number): void {
    const progress = this.tracker.recordAnswer(
      message.from,
      message.round,
      now,
    );
    if (progress?.snapshot === undefined) {
      return;
    }
    this.confirmReads();
    this.snapshotSender.stepSnapshotAnswer(
      message,
      progress,
      this.replication.round,
      now,
    );
  }

  /** Fails pending reads when leadership is lost. */
  stepDown(): void {
    this.reads.failAll();
  }

  private startRound(now: number): void {
    this.replication.broadcast(now);
    this.confirmReads();
  }

  private handleMatch(
    from: string,
    progress: Progress,
    index: number,
    now: number,
  ): void {
    progress.matchIndex = Math.max(progress.matchIndex, index);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    this.snapshotSender.finishIfComplete(progress);
    this.advanceCommitIndex(now);
    if (this.removed) {
      return;
    }
    const {log, id} = this.state;
    if (from !== id && progress.nextIndex <= log.last.index) {
      this.replication.sendAppend(from, progress, now, false);
    }
    this.transfer.requestElection();
  }

  private advanceCommitIndex(now: number): void {
    const {state} = this;
    const index = this.tracker.majorityMatchIndex(state.configuration);
    const entryTerm = state.log.termAt(index);
    if (
      index <= state.commitIndex ||
      !this.rules.mayCommit(entryTerm, state.term)
    ) {
      return;
    }
    state.commitIndex = index;
    this.reads.addDeferred(this.replication.round);
    if (state.isConfigurationCommitted && !state.isVoter) {
      this.removed = true;
      return;
    }
    this.replication.scheduleCommitNotice(now);
  }

  private confirmReads(): void {
    const {configuration, id} = this.state;
    const {round} = this.replication;
    const confirmed = this.rules.readNeedsMajority()
      ? this.tracker.majorityRound(configuration, id, round)
      : round;
    this.reads.confirm(confirmed);
  }
}
