/** A read that waits until a majority confirms the leader. */
interface PendingRead {
  readonly from: string;
  readonly key: string;
  /** Commit index when the read was taken. */
  readonly index: number;
  /** The round of contact that confirms it. */
  readonly round: number;
}

/** A read whose index is confirmed. */
export interface ConfirmedRead {
  readonly from: string;
  readonly key: string;
  readonly index: number;
}

/** Reads of a leader, confirmed by rounds of contact with a majority. */
export class ReadQueue {
  private early: Array<{readonly from: string; readonly key: string}> = [];
  private pending: PendingRead[] = [];

  /** Whether a read waits for a round after `round`. */
  needsRound(round: number): boolean {
    return this.pending.some(read => read.round > round);
  }

  /** Takes a read before the leader's first commit of its term. */
  addDeferred(from: string, key: string): void {
    this.early.push({from, key});
  }

  add(from: string, key: string, index: number, round: number): void {
    this.pending.push({from, key, index, round});
  }

  /** Hands the early reads over, once the leader committed in its term. */
  takeDeferred(): Array<{readonly from: string; readonly key: string}> {
    const taken = this.early;
    this.early = [];
    return taken;
  }

  /** Takes out the reads whose round a majority answered. */
  confirm(round: number): ConfirmedRead[] {
    const confirmed = this.pending.filter(read => read.round <= round);
    this.pending = this.pending.filter(read => read.round > round);
    return confirmed;
  }

  /** Takes out the keys of all reads of `from`, as when leadership is lost. */
  clear(from: string): string[] {
    const keys = [...this.early, ...this.pending]
      .filter(read => read.from === from)
      .map(read => read.key);
    this.early = [];
    this.pending = [];
    return keys;
  }
}
