import {build, type Histogram} from 'hdr-histogram-js';

/** The figures of one run. */
export interface Figures {
  readonly requests: number;
  /** Share of the requests that waited for a load. */
  readonly stalledShare: number;
  readonly meanStallMs: number;
  readonly p50StallMs: number;
  readonly p95StallMs: number;
  readonly p99StallMs: number;
  /** Share of the requests that were refused or late. */
  readonly refusedShare: number;
  readonly loads: number;
  /** Loads whose adapter left before any request used it. */
  readonly loadsWasted: number;
  /** Requests in the batch against its limit, while there was any. */
  readonly batchFill: number;
  readonly p95FirstTokenMs: number;
  /** Loads that waited for the store, on average. */
  readonly meanQueue: number;
}

const HIGHEST_MS = 3_600_000;

/** Collects the figures of the measured part of a run. */
export class Tally {
  private readonly stalls = histogram();
  private readonly firstTokens = histogram();
  private stallSumMs = 0;
  private requests = 0;
  private stalled = 0;
  private refused = 0;
  private loads = 0;
  private wasted = 0;
  private runningMs = 0;
  private busyMs = 0;
  private queueMs = 0;

  /** `from` and `to` bound the measured part, in milliseconds. */
  constructor(
    private readonly from: number,
    private readonly to: number,
  ) {}

  /** A request got its adapter. */
  served(arrivedAt: number, stallMs: number): void {
    if (arrivedAt >= this.from) {
      this.stalled += Number(stallMs > 0);
      this.noteStall(stallMs);
    }
  }

  /** A request was refused or late; it counts as stalled to its deadline. */
  gaveUp(arrivedAt: number, deadlineMs: number): void {
    if (arrivedAt >= this.from) {
      this.stalled += 1;
      this.refused += 1;
      this.noteStall(deadlineMs);
      this.firstTokens.recordValue(deadlineMs);
    }
  }

  /** The first token of a request came. */
  firstToken(arrivedAt: number, tookMs: number): void {
    if (arrivedAt >= this.from) {
      this.firstTokens.recordValue(Math.round(tookMs));
    }
  }

  /** A load ended at time `now`. */
  loaded(now: number): void {
    this.loads += Number(now >= this.from);
  }

  /** An adapter left its slot unused at time `now`. */
  leftUnused(now: number): void {
    this.wasted += Number(now >= this.from);
  }

  /** An engine ran as large a share of its batch limit between two times. */
  ran(fill: number, since: number, now: number): void {
    const ms = this.measured(since, now);
    if (fill > 0) {
      this.runningMs += fill * ms;
      this.busyMs += ms;
    }
  }

  /** As many loads waited between two times. */
  queued(loads: number, since: number, now: number): void {
    this.queueMs += loads * this.measured(since, now);
  }

  /** The figures so far. */
  figures(): Figures {
    const percentile = (share: number) =>
      this.stalls.getValueAtPercentile(share);
    return {
      requests: this.requests,
      stalledShare: this.stalled / this.requests,
      meanStallMs: this.stallSumMs / this.requests,
      p50StallMs: percentile(50),
      p95StallMs: percentile(95),
      p99StallMs: percentile(99),
      refusedShare: this.refused / this.requests,
      loads: this.loads,
      loadsWasted: this.wasted,
      batchFill: this.busyMs === 0 ? 0 : this.runningMs / this.busyMs,
      p95FirstTokenMs: this.firstTokens.getValueAtPercentile(95),
      meanQueue: this.queueMs / (this.to - this.from),
    };
  }

  private noteStall(stallMs: number): void {
    this.requests += 1;
    this.stallSumMs += stallMs;
    this.stalls.recordValue(Math.round(stallMs));
  }

  private measured(since: number, now: number): number {
    return Math.max(0, Math.min(now, this.to) - Math.max(since, this.from));
  }
}

function histogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 3,
  });
}
