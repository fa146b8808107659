/** A time on both clocks of a machine. */
export interface ClockReading {
  /** A `performance.now()` time, in milliseconds. */
  readonly monotonicMs: number;
  /** A `Date.now()` time, in milliseconds. */
  readonly wallMs: number;
}

/** Divergence of the clocks above which the machine may have been suspended, in milliseconds. */
const MAX_DIVERGENCE_MS = 250;

/** Time between two readings, in milliseconds; infinite if the machine may have been suspended. */
export function elapsedMs(from: ClockReading, to: ClockReading): number {
  const monotonicMs = to.monotonicMs - from.monotonicMs;
  const wallMs = to.wallMs - from.wallMs;
  return Math.abs(wallMs - monotonicMs) > MAX_DIVERGENCE_MS
    ? Infinity
    : Math.max(monotonicMs, wallMs);
}
