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

/** The work of a leader, from its election until it follows another. */
export class Leadership {
  private readonly table = new ProgressTracker();
  private readonly transfers: SnapshotSender;
  private readonly replication: Replication;
  private readonly reads: ReadIndex;
  private readonly handOver: LeadershipTransfer;
  /** Index of the first entry of the term. */
  private readonly termStart: number;
  private removed = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly rules: SafetyRules,
    now: number,
  ) {
    this.transfers = new SnapshotSender(state, options, this.table);
    this.replication = new Replication(
      state,
      options,
      this.table,
      this.transfers,
      now,
    );
    this.reads = new ReadIndex(state);
    this.handOver = new LeadershipTransfer(state, options, this.table);
    this.table.updateReplicas(state.configuration, state.log.last.index, now);
    this.termStart = state.log.last.index + 1;
    this.append({kind: 'no-op'}, 0, now);
  }

  /** Whether an entry of its own term is committed. */
  get isReady(): boolean {
    return this.state.commitIndex >= this.termStart;
  }

  /** Whether the leader is committed to be no voter any more. */
  get isRemoved(): boolean {
    return this.removed;
  }

  /** Whether leadership is on its way to another. */
  get isTransferring(): boolean {
    return this.handOver.isActive;
  }

  /** Whether a replica needs a snapshot that `offerSnapshot` should give. */
  get needsSnapshot(): boolean {
    return this.transfers.needsSnapshot;
  }

  /** When `tick` and `sendDue` are next to be called. */
  get dueAt(): number {
    return this.replication.dueAt;
  }

  /** What is known about a replica. */
  progressOf(id: string): Readonly<Progress> | undefined {
    return this.table.get(id);
  }

  /** Whether a majority answered within an election timeout. */
  isInContactWithMajority(now: number): boolean {
    const {configuration, id} = this.state;
    const since = now - this.options.electionTimeoutMs;
    return this.table.hasMajorityAnsweredSince(configuration, id, since);
  }

  /** Sends the heartbeat that is due. */
  tick(now: number): void {
    this.handOver.tick(now);
    if (this.replication.isHeartbeatDue(now)) {
      this.beginRound(now);
    }
  }

  /** Sends what reads and new entries ask for. */
  sendPending(now: number): void {
    if (this.reads.needsRound(this.replication.round)) {
      this.beginRound(now);
    } else {
      this.replication.sendPending(now);
    }
  }

  /** Appends an entry of its own. */
  append(content: Entry['content'], bytes: number, now: number): LogPosition {
    const {state} = this;
    const position = {index: state.log.last.index + 1, term: state.term};
    state.appendEntries([{...position, bytes, content}]);
    this.table.updateReplicas(state.configuration, state.log.last.index, now);
    state.sendAfterSync(state.id, {
      kind: 'append-answer',
      matched: true,
      index: position.index,
      round: 0,
    });
    this.replication.scheduleAppend();
    return position;
  }

  /** Takes a read of any replica. */
  addRead(from: string, key: string): void {
    this.reads.add(from, key, !this.isReady, this.replication.round);
  }

  /** Hands leadership to the voter that is furthest; false where there is none. */
  startTransfer(now: number): boolean {
    return this.handOver.start(now);
  }

  /** Gives a snapshot to be sent to replicas that are too far behind. */
  provideSnapshot(snapshot: Snapshot, now: number): void {
    this.transfers.provideSnapshot(snapshot, this.replication.round, now);
  }

  /** The first index that must be kept for a replica that receives a snapshot. */
  compactionLimit(now: number): number {
    return this.transfers.compactionLimit(now);
  }

  stepAppendAnswer(message: MessageOf<'append-answer'>, now: number): void {
    const progress = this.table.recordAnswer(message.from, message.round, now);
    if (progress === undefined) {
      return;
    }
    if (message.matched) {
      this.matched(message.from, progress, message.index, now);
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

  stepSnapshotAnswer(message: MessageOf<'snapshot-answer'>, now: number): void {
    const progress = this.table.recordAnswer(message.from, message.round, now);
    if (progress?.snapshot === undefined) {
      return;
    }
    this.confirmReads();
    this.transfers.stepSnapshotAnswer(
      message,
      progress,
      this.replication.round,
      now,
    );
  }

  /** Ends what waits, as leadership is lost. */
  stepDown(): void {
    this.reads.failAll();
  }

  private beginRound(now: number): void {
    this.replication.broadcast(now);
    this.confirmReads();
  }

  private matched(
    from: string,
    progress: Progress,
    index: number,
    now: number,
  ): void {
    progress.matchIndex = Math.max(progress.matchIndex, index);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    this.transfers.finishIfComplete(progress);
    this.advanceCommit(now);
    if (this.removed) {
      return;
    }
    const {log, id} = this.state;
    if (from !== id && progress.nextIndex <= log.last.index) {
      this.replication.sendAppend(from, progress, now, false);
    }
    this.handOver.requestElection();
  }

  private advanceCommit(now: number): void {
    const {state} = this;
    const index = this.table.majorityMatchIndex(state.configuration);
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
      ? this.table.majorityRound(configuration, id, round)
      : round;
    this.reads.confirm(confirmed);
  }
}
