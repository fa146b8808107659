/** Approximate number of latest calls over which the mean duration is taken. */
const WINDOW_CALLS = 50;
/** Assumed duration of a call before any call has ended, in milliseconds. */
const INITIAL_DURATION_MS = 1_000;
/**
 * Factor by which an adapter stays in use longer than one call, because its
 * calls overlap.
 */
const OVERLAP_FACTOR = 2;

/**
 * Estimates how often adapter slots become idle from the duration of a
 * service's calls.
 */
export class SlotReleaseEstimator {
  private readonly statsByService = new Map<
    string,
    {calls: number; meanMs: number}
  >();

  /** Records that a call to a service ran for `tookMs` milliseconds. */
  recordCall(service: string, tookMs: number): void {
    const stats = this.statsByService.get(service) ?? {calls: 0, meanMs: 0};
    stats.calls = Math.min(WINDOW_CALLS, stats.calls + 1);
    stats.meanMs += (tookMs - stats.meanMs) / stats.calls;
    this.statsByService.set(service, stats);
  }

  /**
   * Expected time between two slots becoming idle at an engine whose slots are
   * all in use, in milliseconds.
   */
  releaseIntervalMs(service: string, slots: number): number {
    return (this.meanDurationMs(service) * OVERLAP_FACTOR) / Math.max(1, slots);
  }

  /** Mean duration of a service's latest calls, in milliseconds. */
  meanDurationMs(service: string): number {
    return this.statsByService.get(service)?.meanMs ?? INITIAL_DURATION_MS;
  }
}
