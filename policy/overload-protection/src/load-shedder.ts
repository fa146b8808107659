/** A call that arrives at a process. */
export interface ArrivingCall {
  /** Priority from 0, the most urgent, to 9. */
  readonly priority: number;
  /** Duration that the turns of the event loop lastingly have, in milliseconds. */
  readonly turnMs: number;
}

/**
 * Duration of turns above which calls are refused, in milliseconds. A call takes some five turns, so
 * that it would be late by a quarter of a second before its target gets it.
 */
const LATE_TURN_MS = 50;
/** Duration of turns below which fewer calls are refused, in milliseconds. */
const SHORT_TURN_MS = 30;
/** Change of the refused share in a second while turns are late, and while they are short. */
const RISE_PER_SECOND = 1;
const FALL_PER_SECOND = 0.6;
/** Maximum factor by which the share rises faster because turns are later. */
const MAX_LATENESS = 3;
/** Maximum time for which a rise counts between two calls, in milliseconds. */
const MAX_STEP_MS = 200;
/** Maximum share of the calls of a priority that are refused, so that each priority is served. */
const MAX_SHARE = 0.75;
/** Time over which the calls of each priority are counted, in milliseconds. */
const COUNT_OVER_MS = 2_000;
const MS_PER_SECOND = 1_000;

/**
 * Decides which calls a process refuses while it lacks processor time: as large a share as shortens the
 * turns of its event loop, the least urgent calls first. Without that all calls wait in its sockets, and
 * all of them are late. All times are in milliseconds.
 */
export class LoadShedder {
  private share = 0;
  private updatedAt: number | undefined;
  /** Recent calls by priority; older ones count less. */
  private readonly counts = new Map<number, number>();

  /** Whether a call that arrives at time `now` is refused; `random` is in [0, 1). */
  refuses({priority, turnMs}: ArrivingCall, now: number, random: number) {
    const elapsedMs = Math.max(0, now - (this.updatedAt ?? now));
    this.updatedAt = now;
    this.updateShare(turnMs, elapsedMs);
    this.count(priority, elapsedMs);
    return random < this.shareOf(priority);
  }

  private updateShare(turnMs: number, elapsedMs: number): void {
    if (turnMs > LATE_TURN_MS) {
      const stepMs = Math.min(MAX_STEP_MS, elapsedMs);
      const lateness = Math.min(MAX_LATENESS, turnMs / LATE_TURN_MS);
      this.share += (RISE_PER_SECOND * lateness * stepMs) / MS_PER_SECOND;
    } else if (turnMs < SHORT_TURN_MS) {
      this.share -= (FALL_PER_SECOND * elapsedMs) / MS_PER_SECOND;
    }
    this.share = Math.min(MAX_SHARE, Math.max(0, this.share));
  }

  private count(priority: number, elapsedMs: number): void {
    const kept = Math.exp(-elapsedMs / COUNT_OVER_MS);
    this.counts.forEach((count, each) => this.counts.set(each, count * kept));
    this.counts.set(priority, (this.counts.get(priority) ?? 0) + 1);
  }

  /** Share of the calls of a priority that are refused. */
  private shareOf(priority: number): number {
    const counts = [...this.counts];
    const total = counts.reduce((sum, [, count]) => sum + count, 0);
    const lessUrgent = counts
      .filter(([each]) => each > priority)
      .reduce((sum, [, count]) => sum + count, 0);
    const missing = this.share * total - MAX_SHARE * lessUrgent;
    const share = missing / (this.counts.get(priority) ?? 1);
    return Math.min(MAX_SHARE, Math.max(0, share));
  }
}

/** Shortest and longest delay after which a caller may come back, in milliseconds. */
const MIN_RETURN_MS = 200;
const MAX_RETURN_MS = 3_000;

/**
 * Time after which a caller that was refused for lack of processor time may come back, in milliseconds:
 * spread over the time in which it still waits, so that those who can come later do. `random` is in [0, 1).
 */
export function shedCallDelayMs(patienceMs: number, random: number): number {
  const delayMs = patienceMs * (1 + random) * 0.25;
  return Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, delayMs));
}
