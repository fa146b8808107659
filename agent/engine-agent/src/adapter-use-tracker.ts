import type {AdapterUsage} from '@marigoldspur/deployment';

interface EntryUses {
  readonly running: ReadonlySet<string>;
  readonly reportedAt: number;
}

/** A report of an entry expires after this time unless it is repeated. */
const REPORT_VALIDITY_MS = 3_000;
/**
 * A prepared adapter counts as used for this time, because the call it was
 * prepared for is reported with a delay.
 */
const EXPECTED_USE_MS = 400;

/**
 * Tracks which adapters of an engine are used by calls, based on the reports of
 * the entries.
 */
export class AdapterUseTracker {
  private readonly entries = new Map<string, EntryUses>();
  private readonly lastUsed = new Map<string, number>();
  /**
   * When an adapter was requested, or became ready, for a call that has not
   * been reported yet.
   */
  private readonly expectedAt = new Map<string, number>();

  /** Applies the report that an entry sent at time `now`, in milliseconds. */
  update({entry, running}: AdapterUsage, now: number): void {
    const names = running.map(([name]) => name);
    this.entries.set(entry, {running: new Set(names), reportedAt: now});
    names.forEach(name => this.lastUsed.set(name, now));
  }

  /**
   * Records that a call is about to use an adapter, before any entry has
   * reported it.
   */
  expectUse(name: string, now: number): void {
    this.lastUsed.set(name, now);
    this.expectedAt.set(name, now);
  }

  /**
   * When an adapter was last known to be in use, in milliseconds; `-Infinity` if
   * it never was.
   */
  usedAt(name: string): number {
    return this.lastUsed.get(name) ?? -Infinity;
  }

  /** Whether an adapter is in use at time `now`. */
  isUsed(name: string, now: number): boolean {
    if (now - (this.expectedAt.get(name) ?? -Infinity) < EXPECTED_USE_MS) {
      return true;
    }
    return [...this.entries.values()].some(
      ({reportedAt, running}) =>
        now - reportedAt < REPORT_VALIDITY_MS && running.has(name),
    );
  }
}
