/** Largest multiple of the mean as which one observation counts. */
const MAX_MULTIPLE = 4;

/** Arithmetic mean of positive observations, in which a very large one counts as a multiple of the mean. */
export class ClippedMean {
  private mean: number;
  private observations: number;

  constructor(
    prior: number,
    /** Number of observations that the prior counts for. */
    priorWeight: number,
    /** Approximate number of latest observations over which the mean is taken. */
    private readonly window: number,
  ) {
    this.mean = prior;
    this.observations = priorWeight;
  }

  /** Adds an observation; values that are not positive are ignored. */
  add(value: number): void {
    if (!(value > 0)) {
      return;
    }
    this.observations = Math.min(this.window, this.observations + 1);
    const clipped = Math.min(value, MAX_MULTIPLE * this.mean);
    this.mean += (clipped - this.mean) / this.observations;
  }

  get value(): number {
    return this.mean;
  }
}
