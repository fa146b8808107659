import {build} from 'hdr-histogram-js';

/** Throughput and latency of one kind of operation. */
export interface Throughput {
  /** Description of the measured operations. */
  readonly what: string;
  readonly perSecond: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Counts operations and measures their latency. */
export class LatencyMeter {
  private readonly times = build();

  /** Records one operation. */
  record(durationMs: number): void {
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
    this.times.recordValue(Math.max(1, microseconds));
  }

  /** Returns the throughput and latency over a period. */
  result(what: string, elapsedMs: number): Throughput {
    const percentile = (percent: number) =>
      this.times.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
    return {
      what,
      perSecond: Math.round(
        (this.times.totalCount * MS_PER_SECOND) / elapsedMs,
      ),
      medianMs: percentile(50),
      p99Ms: percentile(99),
    };
  }
}
