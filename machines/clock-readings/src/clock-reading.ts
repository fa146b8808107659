/** A time, read from both clocks of a machine at once. */
export interface ClockReading {
  /** Monotonic clock, in milliseconds; it stands still while the machine is suspended. */
  readonly monotonicMs: number;
  /** Wall clock, in milliseconds since the epoch; it may be stepped. */
  readonly wallMs: number;
}

/** Difference between the clocks' progress from which on the machine may have been suspended, in milliseconds. */
const MAX_DIVERGENCE_MS = 250;

/** Reads both clocks. */
export function readClock(): ClockReading {
  return {monotonicMs: performance.now(), wallMs: Date.now()};
}

/** Time between two readings, in milliseconds; infinite if the machine may have been suspended. */
export function elapsedMs(from: ClockReading, to: ClockReading): number {
  const monotonicMs = to.monotonicMs - from.monotonicMs;
  const wallMs = to.wallMs - from.wallMs;
  return Math.abs(wallMs - monotonicMs) > MAX_DIVERGENCE_MS
    ? Infinity
    : Math.max(monotonicMs, wallMs);
}
