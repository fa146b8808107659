/** Options of a use rate estimator. */
export interface UseRateEstimatorOptions {
  /** Half-life of a use, in milliseconds. */
  readonly halfLifeMs: number;
  /**
   * Maximum number of adapter versions that are kept; the least recently used
   * one is removed.
   */
  readonly maxModels: number;
}

interface History {
  /** Decayed number of uses, without the last one. */
  readonly earlierUses: number;
  /** Decayed time since the first use, in milliseconds. */
  readonly observedMs: number;
  /** Time of the last use, in milliseconds. */
  readonly lastUsed: number;
}

/**
 * Prior of the estimate: this many uses in this time, for an adapter without
 * history.
 */
const PRIOR_USES = 0.3;
const PRIOR_MS = 130_000;
/** Prior odds that an adapter is no longer used. */
const UNUSED_PRIOR_ODDS = 0.05;
/**
 * Upper bound for the uses missed during a silence, so that the exponential
 * does not overflow.
 */
const MAX_MISSED_USES = 100;

/**
 * Estimates how often each adapter version (`adapter@version`) is used: the
 * number of uses over the time since the first one, both decayed at the same
 * rate, with a prior. If a version is unused for longer than its rate explains,
 * the odds that it is no longer used grow. A new version starts with the history
 * of the adapter's last version.
 */
export class UseRateEstimator {
  private readonly histories = new Map<string, History>();
  /** The last used version of each adapter, as `adapter@version`. */
  private readonly lastVersions = new Map<string, string>();

  constructor(private readonly options: UseRateEstimatorOptions) {}

  /** Number of adapter versions that are kept. */
  get size(): number {
    return this.histories.size;
  }

  /** Records a use of an adapter at time `now`, in milliseconds. */
  recordUse(model: string, now: number): void {
    this.inheritFromLastVersion(model, now);
    this.store(model, this.addUse(this.histories.get(model), now));
    this.lastVersions.set(adapterNameOf(model), model);
  }

  /** Copies the history of another adapter to an adapter that has none. */
  inheritHistory(model: string, source: string, now: number): void {
    const history = this.histories.get(source);
    if (history !== undefined && !this.histories.has(model)) {
      this.store(model, {...history, lastUsed: now});
    }
  }

  /**
   * Expected uses of an adapter per millisecond at time `now`, in milliseconds;
   * 0 for an adapter that has not been used.
   */
  rate(model: string, now: number): number {
    const history = this.histories.get(model);
    if (history === undefined) {
      return 0;
    }
    const {earlierUses, observedMs, lastUsed} = history;
    const missedUses =
      (now - lastUsed) * posteriorRate(earlierUses, observedMs);
    const unusedOdds =
      UNUSED_PRIOR_ODDS * Math.exp(Math.min(MAX_MISSED_USES, missedUses));
    const decay = this.decayFactor(now - lastUsed);
    return (
      posteriorRate(earlierUses * decay, this.observedMsAt(history, now)) /
      (1 + unusedOdds)
    );
  }

  /**
   * Copies the history of the adapter's last version to a version that has
   * none.
   */
  private inheritFromLastVersion(model: string, now: number): void {
    const last = this.lastVersions.get(adapterNameOf(model));
    if (last !== undefined && last !== model) {
      this.inheritHistory(model, last, now);
    }
  }

  private store(model: string, history: History): void {
    this.histories.delete(model);
    this.histories.set(model, history);
    if (this.histories.size > this.options.maxModels) {
      const [oldest] = this.histories.keys();
      this.evict(oldest);
    }
  }

  private evict(model: string): void {
    this.histories.delete(model);
    const adapter = adapterNameOf(model);
    if (this.lastVersions.get(adapter) === model) {
      this.lastVersions.delete(adapter);
    }
  }

  private addUse(history: History | undefined, now: number): History {
    if (history === undefined) {
      return {earlierUses: 0, observedMs: 0, lastUsed: now};
    }
    const decay = this.decayFactor(now - history.lastUsed);
    return {
      earlierUses: (history.earlierUses + 1) * decay,
      observedMs: this.observedMsAt(history, now),
      lastUsed: now,
    };
  }

  private observedMsAt({observedMs, lastUsed}: History, now: number): number {
    const decay = this.decayFactor(now - lastUsed);
    return (
      observedMs * decay + ((1 - decay) * this.options.halfLifeMs) / Math.LN2
    );
  }

  private decayFactor(elapsedMs: number): number {
    return 2 ** (-elapsedMs / this.options.halfLifeMs);
  }
}

function posteriorRate(uses: number, observedMs: number): number {
  return (uses + PRIOR_USES) / (observedMs + PRIOR_MS);
}

/** The adapter name of `adapter@version`. */
function adapterNameOf(model: string): string {
  return model.split('@', 1)[0];
}
