/** The mean follows about this many of the latest calls. */
const MEMORY_CALLS = 50;
/** A call is taken to last so long before any has ended, in milliseconds. */
const FIRST_GUESS_MS = 1_000;
/** Calls for one adapter overlap, so that it stays in use longer than one of them. */
const OVERLAP = 2;

/** How often slots for adapters become idle, learned from how long calls of a service last. */
export class SlotReleaseEstimator {
  private readonly services = new Map<
    string,
    {calls: number; meanMs: number}
  >();

  /** A call to a service that ran has ended after so many milliseconds. */
  recordCall(service: string, tookMs: number): void {
    const known = this.services.get(service) ?? {calls: 0, meanMs: 0};
    known.calls = Math.min(MEMORY_CALLS, known.calls + 1);
    known.meanMs += (tookMs - known.meanMs) / known.calls;
    this.services.set(service, known);
  }

  /** Time between two slots that become idle at an engine where calls use all of them, in milliseconds. */
  releaseIntervalMs(service: string, slots: number): number {
    const meanMs = this.services.get(service)?.meanMs ?? FIRST_GUESS_MS;
    return (meanMs * OVERLAP) / Math.max(1, slots);
  }
}
