import type {AdapterUsage} from '@marigoldspur/deployment';

interface EntryUses {
  readonly running: ReadonlySet<string>;
  readonly at: number;
}

/** What an entry told counts for so long unless it is told again, in milliseconds. */
const VALID_MS = 3_000;
/** The call that an adapter was made ready for is told a moment later; it counts as used so long, in milliseconds. */
const AWAITED_MS = 400;

/** Which adapters of an engine calls use, as the entries tell. */
export class AdapterUseTracker {
  private readonly entries = new Map<string, EntryUses>();
  private readonly lastUsed = new Map<string, number>();
  /** When an adapter was asked for, or became ready, for a call that is not told yet. */
  private readonly awaitedAt = new Map<string, number>();

  /** Takes what an entry tells at time `now`, in milliseconds. */
  update({entry, running}: AdapterUsage, now: number): void {
    const names = running.map(([name]) => name);
    this.entries.set(entry, {running: new Set(names), at: now});
    names.forEach(name => this.lastUsed.set(name, now));
  }

  /** Takes note that a call is about to use an adapter, which no entry has told yet. */
  expectUse(name: string, now: number): void {
    this.lastUsed.set(name, now);
    this.awaitedAt.set(name, now);
  }

  /** When an adapter was last known to be used. */
  usedAt(name: string): number {
    return this.lastUsed.get(name) ?? -Infinity;
  }

  /** Whether calls use an adapter at time `now`. */
  isUsed(name: string, now: number): boolean {
    if (now - (this.awaitedAt.get(name) ?? -Infinity) < AWAITED_MS) {
      return true;
    }
    return [...this.entries.values()].some(
      ({at, running}) => now - at < VALID_MS && running.has(name),
    );
  }
}
