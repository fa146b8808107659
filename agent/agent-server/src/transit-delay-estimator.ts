import type {ClockTime} from '@marigoldspur/messages';

interface ClockOffset {
  /**
   * Smallest difference between the local time and the sender's time, in
   * milliseconds.
   */
  offsetMs: number;
  measuredAt: number;
}

/** Maximum drift between two clocks, as a share of the elapsed time. */
const MAX_DRIFT_SHARE = 0.000_2;
/**
 * Maximum number of stored clocks. The least recently used ones are removed.
 */
const MAX_CLOCKS = 1_024;

/**
 * Estimates the transit delay of messages from the clocks of their senders.
 *
 * The offset of a clock is unknown, so the fastest message of each sender
 * counts as not delayed. The delay of other messages is how much longer they
 * took. The first message of a sender never counts as delayed.
 */
export class TransitDelayEstimator {
  private readonly offsets = new Map<string, ClockOffset>();

  /**
   * Returns the delay of a message that was written at `written` and arrived at
   * `now`, in milliseconds.
   */
  delayMs(written: ClockTime, now: number): number {
    const {clock, atMs} = written;
    const offsetMs = now - atMs;
    const previous = this.offsets.get(clock);
    const driftMs =
      previous === undefined
        ? 0
        : Math.max(0, now - previous.measuredAt) * MAX_DRIFT_SHARE;
    const expectedMs =
      previous === undefined ? offsetMs : previous.offsetMs + driftMs;
    this.store(clock, {
      offsetMs: Math.min(offsetMs, expectedMs),
      measuredAt: now,
    });
    return Math.max(0, offsetMs - expectedMs);
  }

  private store(clock: string, offset: ClockOffset): void {
    this.offsets.delete(clock);
    this.offsets.set(clock, offset);
    if (this.offsets.size > MAX_CLOCKS) {
      this.offsets.delete(this.offsets.keys().next().value!);
    }
  }
}
