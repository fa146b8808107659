/** Observations that the prior slope counts for. */
const PRIOR_WEIGHT = 50;
/** Observations before the line is used. */
const MIN_OBSERVATIONS = 10;
const WINDOW = 256;
/** Largest multiple of the expected pause as which one observation counts. */
const MAX_MULTIPLE = 3;
/** Largest time that one running request is taken to add to a pause, in milliseconds. */
const MAX_SLOPE_MS = 64;
/** Smallest share of the mean pause that is expected at an idle engine. */
const MIN_PAUSE_SHARE = 0.2;

/** Pause between two events by the number of running requests: a line through clipped observations. */
export class PauseLine {
  private count = 0;
  private meanRunning = 0;
  private meanPauseMs = 0;
  private variance = 0;
  private covariance = 0;

  constructor(private readonly priorSlopeMs: number) {}

  /** Adds the mean pause of a stream while `running` requests ran. */
  add(running: number, pauseMs: number): void {
    if (!(pauseMs > 0) || !(running >= 0)) {
      return;
    }
    const limitMs =
      this.count < MIN_OBSERVATIONS
        ? Infinity
        : MAX_MULTIPLE * this.pauseMs(running);
    this.count = Math.min(WINDOW, this.count + 1);
    const weight = 1 / this.count;
    const runningOffset = running - this.meanRunning;
    const pauseOffset = Math.min(pauseMs, limitMs) - this.meanPauseMs;
    this.meanRunning += weight * runningOffset;
    this.meanPauseMs += weight * pauseOffset;
    const rest = 1 - weight;
    this.variance = rest * (this.variance + weight * runningOffset ** 2);
    this.covariance =
      rest * (this.covariance + weight * runningOffset * pauseOffset);
  }

  /** Whether enough pauses were observed. */
  get isKnown(): boolean {
    return this.count >= MIN_OBSERVATIONS;
  }

  /** Time that each running request adds to a pause, in milliseconds. */
  get slopeMs(): number {
    const prior = this.priorSlopeMs;
    if (!this.isKnown || this.variance === 0) {
      return prior;
    }
    const share = this.count / (this.count + PRIOR_WEIGHT);
    const observed = this.covariance / this.variance;
    const slope = prior + share * (observed - prior);
    return Math.min(MAX_SLOPE_MS, Math.max(0, slope));
  }

  /** Expected pause while `running` requests run, in milliseconds; 0 if not known. */
  pauseMs(running: number): number {
    return this.isKnown
      ? Math.max(
          MIN_PAUSE_SHARE * this.meanPauseMs,
          this.meanPauseMs + this.slopeMs * (running - this.meanRunning),
        )
      : 0;
  }
}
