import {ReadQueue} from './read-queue.js';
import type {ReplicaState} from './replica-state.js';

/**
 * Linearizable reads on the leader (the read index protocol). A read completes once a
 * majority has confirmed the leader after the read began.
 */
export class ReadIndex {
  private readonly queue = new ReadQueue();

  constructor(private readonly state: ReplicaState) {}

  /**
   * Adds a read. It is deferred if the leader has not committed an entry of its term
   * yet.
   */
  add(from: string, key: string, isDeferred: boolean, round: number): void {
    if (isDeferred) {
      this.queue.addDeferred(from, key);
      return;
    }
    this.queue.add(from, key, this.state.commitIndex, round + 1);
  }

  /** Adds the reads that were deferred until the leader's first commit in its term. */
  addDeferred(round: number): void {
    for (const {from, key} of this.queue.takeDeferred()) {
      this.add(from, key, false, round);
    }
  }

  /** Whether a read needs a round later than `round`. */
  needsRound(round: number): boolean {
    return this.queue.needsRound(round);
  }

  /** Completes the reads that a confirmed round covers. */
  confirm(round: number): void {
    for (const read of this.queue.confirm(round)) {
      if (read.from === this.state.id) {
        this.state.readResults.addConfirmed(read);
      } else {
        const {key, index} = read;
        this.state.send(read.from, {kind: 'read-answer', key, index});
      }
    }
  }

  /** Fails the reads of this replica and drops all others, when leadership is lost. */
  failAll(): void {
    this.state.readResults.addFailed(this.queue.clear(this.state.id));
  }
}
