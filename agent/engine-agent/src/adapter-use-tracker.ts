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
 * A model without calls for this time is unused. It is longer than reports are valid, so that a
 * late report does not make a model with running calls unused.
 */
const MODEL_USE_VALIDITY_MS = 5_000;

/**
 * Tracks which adapters of an engine are used by calls, based on the reports of
 * the entries.
 */
export class AdapterUseTracker {
  private readonly entries = new Map<string, EntryUses>();
  private readonly lastUsed = new Map<string, number>();
  private readonly modelLastUsed = new Map<string, number>();
  private observedAt = -Infinity;
  /**
   * When an adapter was requested, or became ready, for a call that has not
   * been reported yet.
   */
  private readonly expectedAt = new Map<string, number>();

  /** Applies the report that an entry sent at time `now`, in milliseconds. */
  update({entry, running}: AdapterUsage, now: number): void {
    const names = running.map(([name]) => name);
    this.entries.set(entry, {running: new Set(names), reportedAt: now});
    names.forEach(name => this.recordUse(name, now));
  }

  /**
   * Records that reports are known only from time `now` on, because the engine or this process
   * has just started.
   */
  startObserving(now: number): void {
    this.observedAt = now;
  }

  /**
   * Records that a call is about to use an adapter, before any entry has
   * reported it.
   */
  expectUse(name: string, now: number): void {
    this.recordUse(name, now);
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

  /**
   * When a model or one of its adapters was last known to be in use, in milliseconds; the start
   * of the observation if it was not since.
   */
  modelUsedAt(model: string): number {
    return Math.max(
      this.observedAt,
      this.modelLastUsed.get(model) ?? -Infinity,
    );
  }

  /** Whether calls use a model or one of its adapters at time `now`, or did so shortly before. */
  isModelUsed(model: string, now: number): boolean {
    return now - this.modelUsedAt(model) < MODEL_USE_VALIDITY_MS;
  }

  private recordUse(name: string, now: number): void {
    this.lastUsed.set(name, now);
    this.modelLastUsed.set(name.split('/')[0], now);
  }
}
