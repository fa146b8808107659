import type {ClockTime} from '@marigoldspur/messages';

interface Offset {
  /** Smallest time here less time there, in milliseconds. */
  offsetMs: number;
  takenAt: number;
}

/** How far two clocks may drift apart, as a share of the time that passes. */
const MAX_DRIFT = 0.000_2;
/** Clocks that are remembered; the longest unused are dropped. */
const MAX_CLOCKS = 1_024;

/**
 * How long messages were on their way, by the clocks of their senders.
 *
 * The offset of a clock is not known, so the fastest message of each sender counts as
 * not delayed, and the others by how much longer they took. The first message of a
 * sender is never called delayed.
 */
export class TransitDelayEstimator {
  private readonly offsets = new Map<string, Offset>();

  /** The delay of a message that was written at `written` and came at `now`, in milliseconds. */
  delayMs(written: ClockTime, now: number): number {
    const {clock, atMs} = written;
    const offsetMs = now - atMs;
    const known = this.offsets.get(clock);
    const slack =
      known === undefined ? 0 : Math.max(0, now - known.takenAt) * MAX_DRIFT;
    const expectedMs = known === undefined ? offsetMs : known.offsetMs + slack;
    this.keep(clock, {offsetMs: Math.min(offsetMs, expectedMs), takenAt: now});
    return Math.max(0, offsetMs - expectedMs);
  }

  private keep(clock: string, offset: Offset): void {
    this.offsets.delete(clock);
    this.offsets.set(clock, offset);
    if (this.offsets.size > MAX_CLOCKS) {
      this.offsets.delete(this.offsets.keys().next().value!);
    }
  }
}
