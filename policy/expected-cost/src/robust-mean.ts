/** Options of a robust mean. */
export interface RobustMeanOptions {
  /** Value before any observation; if absent, the first observation counts fully. */
  readonly prior?: number;
  /** Number of observations that the prior counts for. */
  readonly priorWeight: number;
  /** Approximate number of latest observations over which the mean is taken. */
  readonly window: number;
  /** Time without an observation after which the mean counts half, in milliseconds. */
  readonly halfLifeMs: number;
  /** Largest factor by which one observation may lie above the mean and still count fully. */
  readonly maxRise?: number;
}

/** Largest factor by which one observation may lie away from the mean and still count fully. */
const DEFAULT_MAX_FACTOR = 2;

/**
 * Geometric mean of positive observations, in which an outlier counts no more than one at the
 * largest allowed factor. As it ages, it falls back to its prior if that has a weight; otherwise it
 * keeps its value and only its count falls.
 */
export class RobustMean {
  private logMean: number;
  private observations = 0;
  private observedAt = 0;
  private readonly logPrior: number;
  private readonly maxRise: number;

  constructor(private readonly options: RobustMeanOptions) {
    this.logPrior = Math.log(options.prior ?? 1);
    this.logMean = this.logPrior;
    this.maxRise = Math.log(options.maxRise ?? DEFAULT_MAX_FACTOR);
  }

  /** Adds an observation made at time `now`; values that are not positive are ignored. */
  add(value: number, now: number): void {
    if (!(value > 0) || value === Infinity) {
      return;
    }
    const {prior, priorWeight, window} = this.options;
    const count = this.countAt(now);
    const deviation = Math.log(value) - this.logMean;
    const isFirst = this.observations === 0 && prior === undefined;
    const clipped = isFirst
      ? deviation
      : Math.min(
          this.maxRise,
          Math.max(-Math.log(DEFAULT_MAX_FACTOR), deviation),
        );
    this.logMean +=
      clipped / Math.min(window + priorWeight, count + priorWeight + 1);
    this.observations = Math.min(window, count + 1);
    this.observedAt = now;
  }

  /** The mean, which approaches the prior as observations age if the prior has a weight. */
  valueAt(now: number): number {
    return Math.exp(this.logValueAt(now));
  }

  /** Natural logarithm of the mean. */
  logValueAt(now: number): number {
    const weight = this.options.priorWeight === 0 ? 1 : this.freshness(now);
    return this.logPrior + (this.logMean - this.logPrior) * weight;
  }

  /** Number of observations that the mean stands on, fewer as they age. */
  countAt(now: number): number {
    return this.observations * this.freshness(now);
  }

  private freshness(now: number): number {
    const ageMs = Math.max(0, now - this.observedAt);
    return this.observations === 0
      ? 0
      : 2 ** (-ageMs / this.options.halfLifeMs);
  }
}
