import {ReadQueue} from './read-queue.js';
import type {ReplicaState} from './replica-state.js';

/** Fresh reads of a leader: each waits until a majority confirms it after it began. */
export class ReadIndex {
  private readonly queue = new ReadQueue();

  constructor(private readonly state: ReplicaState) {}

  /** Takes a read; before the leader's first commit of its term it waits for that. */
  take(from: string, key: string, isEarly: boolean, round: number): void {
    if (isEarly) {
      this.queue.addEarly(from, key);
      return;
    }
    this.queue.add(from, key, this.state.commit, round + 1);
  }

  /** Takes up the reads that waited for the leader's first commit. */
  takeUpEarly(round: number): void {
    for (const {from, key} of this.queue.takeEarly()) {
      this.take(from, key, false, round);
    }
  }

  /** Whether a read waits for a round after `round`. */
  needsRound(round: number): boolean {
    return this.queue.needsRound(round);
  }

  /** Answers the reads that a round confirms. */
  confirm(round: number): void {
    for (const read of this.queue.confirm(round)) {
      if (read.from === this.state.id) {
        this.state.reads.confirm(read);
      } else {
        const {key, index} = read;
        this.state.send(read.from, {kind: 'read-answer', key, index});
      }
    }
  }

  /** Ends all reads, as leadership is lost. */
  fail(): void {
    this.state.reads.fail(this.queue.drop(this.state.id));
  }
}
