import type {ClaimHolder} from '@marigoldspur/request-claims';

/** Finds claim holders that have been absent from the member table for a full lease. */
export class AbsentHolderTracker {
  /** When each holder was first seen absent from the member table, in milliseconds. */
  private readonly absentSince = new Map<string, number>();

  constructor(private readonly leaseMs: number) {}

  /**
   * Returns the holders whose absence has lasted a full lease at time `now` and stops
   * tracking them. An entry that restarted with another boot ID is absent under the
   * earlier one.
   */
  takeLost(
    holders: readonly ClaimHolder[],
    isMember: (holder: ClaimHolder) => boolean,
    now: number,
  ): ClaimHolder[] {
    this.forgetOthers(new Set(holders.map(keyOf)));
    return holders.filter(holder => this.isLost(holder, isMember, now));
  }

  /** Forgets all absences; called at the start of a new term. */
  clear(): void {
    this.absentSince.clear();
  }

  private isLost(
    holder: ClaimHolder,
    isMember: (holder: ClaimHolder) => boolean,
    now: number,
  ): boolean {
    const key = keyOf(holder);
    if (isMember(holder)) {
      this.absentSince.delete(key);
      return false;
    }
    const since = this.absentSince.get(key) ?? now;
    const isLost = now - since >= this.leaseMs;
    if (isLost) {
      this.absentSince.delete(key);
    } else {
      this.absentSince.set(key, since);
    }
    return isLost;
  }

  private forgetOthers(currentKeys: ReadonlySet<string>): void {
    for (const key of this.absentSince.keys()) {
      if (!currentKeys.has(key)) {
        this.absentSince.delete(key);
      }
    }
  }
}

function keyOf({entry, boot}: ClaimHolder): string {
  return `${entry}/${boot}`;
}
