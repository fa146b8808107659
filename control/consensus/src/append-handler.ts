import type {Entry} from './entry.js';
import type {MessageOf} from './messages.js';
import type {ReplicaState} from './replica-state.js';
import {SnapshotReceiver} from './snapshot-receiver.js';

/** Handles the append and snapshot messages of the leader on a follower. */
export class AppendHandler {
  private readonly receiver = new SnapshotReceiver();

  constructor(private readonly state: ReplicaState) {}

  /**
   * Appends the entries that the log lacks. Answers with the last matching index, or with
   * the index to retry from if the previous entry does not match.
   */
  stepAppend(message: MessageOf<'append'>): void {
    const {state} = this;
    const {round, previousIndex} = message;
    if (previousIndex < state.commitIndex) {
      this.stepOverlappingAppend(message);
      return;
    }
    if (state.log.termAt(previousIndex) !== message.previousTerm) {
      const index = this.conflictIndex(previousIndex);
      this.answer(message.from, false, index, round);
      return;
    }
    this.appendMissing(message.entries);
    const index = previousIndex + message.entries.length;
    state.advanceCommitIndex(Math.min(message.commitIndex, index));
    this.answer(message.from, true, index, round);
  }

  /**
   * Adds a part of a snapshot and installs the snapshot once it is complete. A snapshot
   * that the log already covers is not installed.
   */
  stepSnapshotPart(message: MessageOf<'snapshot-part'>): void {
    const {state} = this;
    const {from, index, round} = message;
    if (
      index <= state.commitIndex ||
      state.log.termAt(index) === message.snapshotTerm
    ) {
      state.advanceCommitIndex(index);
      this.answer(from, true, state.commitIndex, round);
      return;
    }
    const snapshot = this.receiver.addPart(message);
    if (snapshot === undefined) {
      const {received} = this.receiver;
      state.sendAfterSync(from, {
        kind: 'snapshot-answer',
        index,
        received,
        round,
      });
      return;
    }
    state.installSnapshot(snapshot);
    this.answer(from, true, index, round);
  }

  /**
   * Appends only the entries after the local commit index. The committed entries
   * before it match because every leader holds them.
   */
  private stepOverlappingAppend(message: MessageOf<'append'>): void {
    const {state} = this;
    const {from, round, entries, commitIndex} = message;
    const uncommitted = entries.filter(
      entry => entry.index > state.commitIndex,
    );
    if (uncommitted.length > 0) {
      this.appendMissing(uncommitted);
      const index = uncommitted.at(-1)!.index;
      state.advanceCommitIndex(Math.min(commitIndex, index));
      this.answer(from, true, index, round);
      return;
    }
    this.answer(from, true, state.commitIndex, round);
  }

  private answer(
    to: string,
    matched: boolean,
    index: number,
    round: number,
  ): void {
    this.state.sendAfterSync(to, {
      kind: 'append-answer',
      matched,
      index,
      round,
    });
  }

  /** The index from which the leader should search for the last matching entry. */
  private conflictIndex(previousIndex: number): number {
    const {log, commitIndex} = this.state;
    const last = log.last.index;
    if (previousIndex > last) {
      return last;
    }
    return Math.max(commitIndex, log.firstIndexOfTerm(previousIndex) - 1);
  }

  /**
   * Appends the entries from the first one that the log lacks or holds with another
   * term.
   */
  private appendMissing(entries: readonly Entry[]): void {
    const firstMissing = entries.findIndex(
      entry => this.state.log.termAt(entry.index) !== entry.term,
    );
    if (firstMissing !== -1) {
      this.state.appendEntries(entries.slice(firstMissing));
    }
  }
}
