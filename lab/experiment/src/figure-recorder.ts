import {build, type Histogram} from 'hdr-histogram-js';

/** The figures of one run. */
export interface Figures {
  readonly requests: number;
  /** Fraction of the requests that waited for a load. */
  readonly stalledShare: number;
  /**
   * Mean stall: the time from the first arrival of a request at an engine until its
   * adapter is loaded.
   */
  readonly meanStallMs: number;
  readonly p50StallMs: number;
  readonly p95StallMs: number;
  readonly p99StallMs: number;
  /** Fraction of the requests that were refused or late. */
  readonly refusedShare: number;
  /** Number of completed loads. */
  readonly loads: number;
  /** Number of loads whose adapter was evicted before any request used it. */
  readonly loadsWasted: number;
  /** Mean batch size as a fraction of the batch limit, over the time in which requests ran. */
  readonly batchFill: number;
  readonly p95FirstTokenMs: number;
  /** Mean number of loads that waited for the store. */
  readonly meanQueue: number;
}

const MAX_RECORDED_MS = 3_600_000;

/** Records the figures of the measured part of a run. */
export class FigureRecorder {
  private readonly stalls = createHistogram();
  private readonly firstTokens = createHistogram();
  private stallSumMs = 0;
  private requestCount = 0;
  private stalledCount = 0;
  private refusedCount = 0;
  private loadCount = 0;
  private wastedCount = 0;
  /** Integral of the batch fill over time. */
  private fillMs = 0;
  /** Time in which an engine ran requests, summed over the engines. */
  private busyMs = 0;
  /** Integral of the number of waiting loads over time. */
  private queueLengthMs = 0;

  /** The measured part lasts from `startMs` to `endMs`, in simulated time. */
  constructor(
    private readonly startMs: number,
    private readonly endMs: number,
  ) {}

  /** Records the stall of a request once its adapter is resident. */
  recordServed(arrivedAt: number, stallMs: number): void {
    if (arrivedAt >= this.startMs) {
      this.stalledCount += Number(stallMs > 0);
      this.recordStall(stallMs);
    }
  }

  /** Records a refused or late request, which counts as stalled for `deadlineMs`. */
  recordRefused(arrivedAt: number, deadlineMs: number): void {
    if (arrivedAt >= this.startMs) {
      this.stalledCount += 1;
      this.refusedCount += 1;
      this.recordStall(deadlineMs);
      this.firstTokens.recordValue(deadlineMs);
    }
  }

  /** Records the time to the first token of a request. */
  recordFirstToken(arrivedAt: number, durationMs: number): void {
    if (arrivedAt >= this.startMs) {
      this.firstTokens.recordValue(Math.round(durationMs));
    }
  }

  /** Records a load that completed at time `now`, in milliseconds. */
  recordLoad(now: number): void {
    this.loadCount += Number(now >= this.startMs);
  }

  /** Records the eviction of an unused adapter at time `now`, in milliseconds. */
  recordUnusedEviction(now: number): void {
    this.wastedCount += Number(now >= this.startMs);
  }

  /** Records the batch fill of an engine from `since` to `now`, as a fraction of the batch limit. */
  recordBatchFill(fill: number, since: number, now: number): void {
    const elapsedMs = this.measuredMs(since, now);
    if (fill > 0) {
      this.fillMs += fill * elapsedMs;
      this.busyMs += elapsedMs;
    }
  }

  /** Records the number of waiting loads from `since` to `now`, in milliseconds. */
  recordQueueLength(loads: number, since: number, now: number): void {
    this.queueLengthMs += loads * this.measuredMs(since, now);
  }

  /** Returns the figures of the events recorded so far. */
  figures(): Figures {
    const percentile = (percent: number) =>
      this.stalls.getValueAtPercentile(percent);
    return {
      requests: this.requestCount,
      stalledShare: this.stalledCount / this.requestCount,
      meanStallMs: this.stallSumMs / this.requestCount,
      p50StallMs: percentile(50),
      p95StallMs: percentile(95),
      p99StallMs: percentile(99),
      refusedShare: this.refusedCount / this.requestCount,
      loads: this.loadCount,
      loadsWasted: this.wastedCount,
      batchFill: this.busyMs === 0 ? 0 : this.fillMs / this.busyMs,
      p95FirstTokenMs: this.firstTokens.getValueAtPercentile(95),
      meanQueue: this.queueLengthMs / (this.endMs - this.startMs),
    };
  }

  private recordStall(stallMs: number): void {
    this.requestCount += 1;
    this.stallSumMs += stallMs;
    this.stalls.recordValue(Math.round(stallMs));
  }

  /** Time between `since` and `now` that lies in the measured part, in milliseconds. */
  private measuredMs(since: number, now: number): number {
    return Math.max(
      0,
      Math.min(now, this.endMs) - Math.max(since, this.startMs),
    );
  }
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: 3,
  });
}
