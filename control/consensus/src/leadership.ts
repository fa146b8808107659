import type {ConsensusOptions} from './consensus-options.js';
import type {Entry, Position, Snapshot} from './entry.js';
import {HandOver} from './hand-over.js';
import type {MessageOf} from './messages.js';
import {ProgressTable} from './progress-table.js';
import type {Progress} from './progress.js';
import {ReadIndex} from './read-index.js';
import type {ReplicaState} from './replica-state.js';
import {Replication} from './replication.js';
import type {SafetyRules} from './safety-rules.js';
import {SnapshotTransfers} from './snapshot-transfers.js';

/** The work of a leader, from its election until it follows another. */
export class Leadership {
  private readonly table = new ProgressTable();
  private readonly transfers: SnapshotTransfers;
  private readonly replication: Replication;
  private readonly reads: ReadIndex;
  private readonly handOver: HandOver;
  /** Index of the first entry of the term. */
  private readonly termStart: number;
  private removed = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly rules: SafetyRules,
    now: number,
  ) {
    this.transfers = new SnapshotTransfers(state, options, this.table);
    this.replication = new Replication(
      state,
      options,
      this.table,
      this.transfers,
      now,
    );
    this.reads = new ReadIndex(state);
    this.handOver = new HandOver(state, options, this.table);
    this.table.follow(state.configuration, state.log.last.index, now);
    this.termStart = state.log.last.index + 1;
    this.append({kind: 'no-op'}, 0, now);
  }

  /** Whether an entry of its own term is committed. */
  get isReady(): boolean {
    return this.state.commit >= this.termStart;
  }

  /** Whether the leader is committed to be no voter any more. */
  get isRemoved(): boolean {
    return this.removed;
  }

  /** Whether leadership is on its way to another. */
  get isHandingOver(): boolean {
    return this.handOver.isActive;
  }

  /** Whether a replica needs a snapshot that `offerSnapshot` should give. */
  get wantsSnapshot(): boolean {
    return this.transfers.wantsSnapshot;
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
  hearsMajority(now: number): boolean {
    const {configuration, id} = this.state;
    const since = now - this.options.electionTimeoutMs;
    return this.table.heardMajorityAfter(configuration, id, since);
  }

  /** Sends the heartbeat that is due. */
  tick(now: number): void {
    this.handOver.tick(now);
    if (this.replication.isHeartbeatDue(now)) {
      this.beginRound(now);
    }
  }

  /** Sends what reads and new entries ask for. */
  sendDue(now: number): void {
    if (this.reads.needsRound(this.replication.round)) {
      this.beginRound(now);
    } else {
      this.replication.sendNew(now);
    }
  }

  /** Appends an entry of its own. */
  append(content: Entry['content'], bytes: number, now: number): Position {
    const {state} = this;
    const position = {index: state.log.last.index + 1, term: state.term};
    state.put([{...position, bytes, content}]);
    this.table.follow(state.configuration, state.log.last.index, now);
    state.sendHeld(state.id, {
      kind: 'append-answer',
      matched: true,
      index: position.index,
      round: 0,
    });
    this.replication.noteEntry();
    return position;
  }

  /** Takes a read of any replica. */
  takeRead(from: string, key: string): void {
    this.reads.take(from, key, !this.isReady, this.replication.round);
  }

  /** Hands leadership to the voter that is furthest; false where there is none. */
  startHandOver(now: number): boolean {
    return this.handOver.start(now);
  }

  /** Gives a snapshot to be sent to replicas that are too far behind. */
  offerSnapshot(snapshot: Snapshot, now: number): void {
    this.transfers.take(snapshot, this.replication.round, now);
  }

  /** The first index that must be kept for a replica that receives a snapshot. */
  neededIndex(now: number): number {
    return this.transfers.neededIndex(now);
  }

  stepAppendAnswer(message: MessageOf<'append-answer'>, now: number): void {
    const progress = this.table.heard(message.from, message.round, now);
    if (progress === undefined) {
      return;
    }
    if (message.matched) {
      this.matched(message.from, progress, message.index, now);
    } else if (progress.snapshot === undefined) {
      progress.next = Math.max(
        progress.match + 1,
        Math.min(progress.next, message.index + 1),
      );
      this.replication.sendAppend(message.from, progress, now, false);
    }
    if (!this.removed) {
      this.confirmReads();
    }
  }

  stepSnapshotAnswer(message: MessageOf<'snapshot-answer'>, now: number): void {
    const progress = this.table.heard(message.from, message.round, now);
    if (progress?.snapshot === undefined) {
      return;
    }
    this.confirmReads();
    this.transfers.answered(message, progress, this.replication.round, now);
  }

  /** Ends what waits, as leadership is lost. */
  end(): void {
    this.reads.fail();
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
    progress.match = Math.max(progress.match, index);
    progress.next = Math.max(progress.next, progress.match + 1);
    this.transfers.finish(progress);
    this.advanceCommit(now);
    if (this.removed) {
      return;
    }
    const {log, id} = this.state;
    if (from !== id && progress.next <= log.last.index) {
      this.replication.sendAppend(from, progress, now, false);
    }
    this.handOver.proceed();
  }

  private advanceCommit(now: number): void {
    const {state} = this;
    const index = this.table.majorityMatch(state.configuration);
    const entryTerm = state.log.termAt(index);
    if (index <= state.commit || !this.rules.mayCommit(entryTerm, state.term)) {
      return;
    }
    state.commit = index;
    this.reads.takeUpEarly(this.replication.round);
    if (state.configurationCommitted && !state.isVoter) {
      this.removed = true;
      return;
    }
    this.replication.noteCommit(now);
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
