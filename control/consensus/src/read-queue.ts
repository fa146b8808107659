/** A read that waits for a majority to confirm the leader. */
interface PendingRead {
  readonly from: string;
  readonly key: string;
  /** Commit index at the time the read was added. */
  readonly index: number;
  /** The heartbeat round that confirms the read. */
  readonly round: number;
}

/** A read whose index is confirmed. */
export interface ConfirmedRead {
  readonly from: string;
  readonly key: string;
  readonly index: number;
}

/** Pending reads of the leader, which heartbeat rounds answered by a majority confirm. */
export class ReadQueue {
  private deferred: Array<{readonly from: string; readonly key: string}> = [];
  private pending: PendingRead[] = [];

  /** Whether a read needs a round later than `round`. */
  needsRound(round: number): boolean {
    return this.pending.some(read => read.round > round);
  }

  /** Adds a read that waits for the leader's first commit in its term. */
  addDeferred(from: string, key: string): void {
    this.deferred.push({from, key});
  }

  add(from: string, key: string, index: number, round: number): void {
    this.pending.push({from, key, index, round});
  }

  /** Takes the deferred reads, once the leader has committed an entry of its term. */
  takeDeferred(): Array<{readonly from: string; readonly key: string}> {
    const taken = this.deferred;
    this.deferred = [];
    return taken;
  }

  /** Takes the reads whose round a majority has answered. */
  confirm(round: number): ConfirmedRead[] {
    const confirmed = this.pending.filter(read => read.round <= round);
    this.pending = this.pending.filter(read => read.round > round);
    return confirmed;
  }

  /** Removes all reads and returns the keys of those that `from` started. */
  clear(from: string): string[] {
    const keys = [...this.deferred, ...this.pending]
      .filter(read => read.from === from)
      .map(read => read.key);
    this.deferred = [];
    this.pending = [];
    return keys;
  }
}
