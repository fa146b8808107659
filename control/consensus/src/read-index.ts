import {ReadQueue} from './read-queue.js';
import type {ReplicaState} from './replica-state.js';

/** Fresh reads of a leader: each waits until a majority confirms it after it began. */
export class ReadIndex {
  private readonly queue = new ReadQueue();

  constructor(private readonly state: ReplicaState) {}

  /** Takes a read; before the leader's first commit of its term it waits for that. */
  add(from: string, key: string, isEarly: boolean, round: number): void {
    if (isEarly) {
      this.queue.addDeferred(from, key);
      return;
    }
    this.queue.add(from, key, this.state.commitIndex, round + 1);
  }

  /** Takes up the reads that waited for the leader's first commit. */
  addDeferred(round: number): void {
    for (const {from, key} of this.queue.takeDeferred()) {
      this.add(from, key, false, round);
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
  failAll(): void {
    this.state.reads.fail(this.queue.clear(this.state.id));
  }
}
