import type {Entry} from './entry.js';
import type {MessageOf} from './messages.js';
import type {ReplicaState} from './replica-state.js';
import {SnapshotReceiver} from './snapshot-receiver.js';

/** A follower's side of replication: takes entries and snapshots of its leader. */
export class AppendHandler {
  private readonly receiver = new SnapshotReceiver();

  constructor(private readonly state: ReplicaState) {}

  stepAppend(message: MessageOf<'append'>): void {
    const {state} = this;
    const {round, previousIndex} = message;
    if (previousIndex < state.commitIndex) {
      this.stepOverlap(message);
      return;
    }
    if (state.log.termAt(previousIndex) !== message.previousTerm) {
      const index = this.searchFrom(previousIndex);
      this.answer(message.from, false, index, round);
      return;
    }
    this.takeEntries(message.entries);
    const index = previousIndex + message.entries.length;
    state.advanceCommitIndex(Math.min(message.commitIndex, index));
    this.answer(message.from, true, index, round);
  }

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

  /** Takes the part of a message after what is committed here, which the leader holds too. */
  private stepOverlap(message: MessageOf<'append'>): void {
    const {state} = this;
    const {from, round, entries, commitIndex} = message;
    const fresh = entries.filter(entry => entry.index > state.commitIndex);
    if (fresh.length > 0) {
      this.takeEntries(fresh);
      const index = fresh.at(-1)!.index;
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

  /** Where the leader should look for the last equal entry. */
  private searchFrom(previousIndex: number): number {
    const {log, commitIndex: commit} = this.state;
    const last = log.last.index;
    if (previousIndex > last) {
      return last;
    }
    return Math.max(commit, log.firstIndexOfTerm(previousIndex) - 1);
  }

  private takeEntries(entries: readonly Entry[]): void {
    const at = entries.findIndex(
      entry => this.state.log.termAt(entry.index) !== entry.term,
    );
    if (at !== -1) {
      this.state.appendEntries(entries.slice(at));
    }
  }
}
