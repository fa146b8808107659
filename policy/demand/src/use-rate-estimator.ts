/** Options of a rate table. */
export interface UseRateEstimatorOptions {
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs: number;
  /** Adapters that are remembered at most; the one unused for longest is forgotten. */
  readonly maxModels: number;
}

interface History {
  /** Decayed uses, the last one apart. */
  readonly before: number;
  /** Decayed time since the first use, in milliseconds. */
  readonly seenMs: number;
  readonly lastUsed: number;
}

/** What the estimate holds of an adapter with no history: so many uses in so long a time. */
const PRIOR_USES = 0.3;
const PRIOR_MS = 130_000;
/** Odds before any silence that an adapter is not wanted any more. */
const ENDED_ODDS = 0.05;
/** Silence of more uses than this counts as this, so that no number overflows. */
const MAX_MISSED_USES = 100;

/**
 * Estimates how often each adapter is used: uses over the time since the
 * first, which decay alike, with a prior. An adapter that is silent for longer
 * than its rate explains counts as ended with growing odds. A new version is
 * expected to be used as the adapter's last one was.
 */
export class UseRateEstimator {
  private readonly histories = new Map<string, History>();
  /** The version of each adapter that was used last, as `adapter@version`. */
  private readonly lastVersions = new Map<string, string>();

  constructor(private readonly options: UseRateEstimatorOptions) {}

  /** Adapters that are remembered. */
  get size(): number {
    return this.histories.size;
  }

  /** Counts a use of an adapter at time `now`, in milliseconds. */
  recordUse(model: string, now: number): void {
    this.inheritFromVersion(model, now);
    this.keep(model, this.used(this.histories.get(model), now));
    this.lastVersions.set(adapterOf(model), model);
  }

  /** Expects of an adapter without a history what is known of another one. */
  inheritHistory(model: string, from: string, now: number): void {
    const known = this.histories.get(from);
    if (known !== undefined && !this.histories.has(model)) {
      this.keep(model, {...known, lastUsed: now});
    }
  }

  /** Uses a millisecond that are expected of an adapter at time `now`, in milliseconds. */
  rate(model: string, now: number): number {
    const history = this.histories.get(model);
    if (history === undefined) {
      return 0;
    }
    const {before, seenMs, lastUsed} = history;
    const missedUses = (now - lastUsed) * posterior(before, seenMs);
    const endedOdds =
      ENDED_ODDS * Math.exp(Math.min(MAX_MISSED_USES, missedUses));
    const kept = this.keptShare(now - lastUsed);
    return posterior(before * kept, this.seen(history, now)) / (1 + endedOdds);
  }

  /** Of a version without a history, expects what is known of the adapter's last one. */
  private inheritFromVersion(model: string, now: number): void {
    const last = this.lastVersions.get(adapterOf(model));
    if (last !== undefined && last !== model) {
      this.inheritHistory(model, last, now);
    }
  }

  private keep(model: string, history: History): void {
    this.histories.delete(model);
    this.histories.set(model, history);
    if (this.histories.size > this.options.maxModels) {
      const [oldest] = this.histories.keys();
      this.forget(oldest);
    }
  }

  private forget(model: string): void {
    this.histories.delete(model);
    const adapter = adapterOf(model);
    if (this.lastVersions.get(adapter) === model) {
      this.lastVersions.delete(adapter);
    }
  }

  private used(known: History | undefined, now: number): History {
    if (known === undefined) {
      return {before: 0, seenMs: 0, lastUsed: now};
    }
    const kept = this.keptShare(now - known.lastUsed);
    return {
      before: (known.before + 1) * kept,
      seenMs: this.seen(known, now),
      lastUsed: now,
    };
  }

  private seen({seenMs, lastUsed}: History, now: number): number {
    const kept = this.keptShare(now - lastUsed);
    return seenMs * kept + ((1 - kept) * this.options.halfLifeMs) / Math.LN2;
  }

  private keptShare(ms: number): number {
    return 2 ** (-ms / this.options.halfLifeMs);
  }
}

function posterior(uses: number, seenMs: number): number {
  return (uses + PRIOR_USES) / (seenMs + PRIOR_MS);
}

/** The adapter of `adapter@version`. */
function adapterOf(model: string): string {
  return model.split('@', 1)[0];
}
