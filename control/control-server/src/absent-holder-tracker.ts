import type {ClaimHolder} from '@marigoldspur/request-claims';

/** Finds holders of claims that were no members for a whole lease. */
export class AbsentHolderTracker {
  /** Since when each holder has not been a member, in milliseconds. */
  private readonly since = new Map<string, number>();

  constructor(private readonly leaseMs: number) {}

  /**
   * The holders that are lost at time `now`. An entry that returned with another boot
   * counts as absent under the earlier one.
   */
  takeLost(
    holders: readonly ClaimHolder[],
    isMember: (holder: ClaimHolder) => boolean,
    now: number,
  ): ClaimHolder[] {
    this.forgetAllBut(new Set(holders.map(keyOf)));
    return holders.filter(holder => this.isLost(holder, isMember, now));
  }

  /** Starts anew, as with another term of office. */
  clear(): void {
    this.since.clear();
  }

  private isLost(
    holder: ClaimHolder,
    isMember: (holder: ClaimHolder) => boolean,
    now: number,
  ): boolean {
    const key = keyOf(holder);
    if (isMember(holder)) {
      this.since.delete(key);
      return false;
    }
    const since = this.since.get(key) ?? now;
    const lost = now - since >= this.leaseMs;
    if (lost) {
      this.since.delete(key);
    } else {
      this.since.set(key, since);
    }
    return lost;
  }

  private forgetAllBut(known: ReadonlySet<string>): void {
    for (const key of this.since.keys()) {
      if (!known.has(key)) {
        this.since.delete(key);
      }
    }
  }
}

function keyOf({entry, boot}: ClaimHolder): string {
  return `${entry}/${boot}`;
}
