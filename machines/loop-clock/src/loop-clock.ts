/** Time between two records of a turn, in milliseconds, if the event loop is not late. */
const INTERVAL_MS = 20;
/** Lateness that does not count, in milliseconds: the clock is no more exact. */
const TOLERANCE_MS = 3 * INTERVAL_MS;

/** Records the turns of an event loop. */
export class LoopClock {
  private turnCount = 0;
  /** When the last two turns were recorded, in milliseconds. */
  private previousAt: number;
  private lastAt: number;

  constructor(now: number) {
    this.previousAt = now;
    this.lastAt = now;
  }

  /** Number of turns so far. */
  get turns(): number {
    return this.turnCount;
  }

  /** Records a turn at time `now`, in milliseconds. */
  recordTurn(now: number): void {
    this.turnCount += 1;
    this.previousAt = this.lastAt;
    this.lastAt = now;
  }

  /**
   * Returns the earliest time at which what is read at time `now` may have arrived, in
   * milliseconds.
   */
  earliestArrival(now: number): number {
    // The last turn may have been recorded between the arrival and the poll that found it.
    return now - this.previousAt <= TOLERANCE_MS ? now : this.previousAt;
  }
}

/** A loop clock that records the turns of this process. */
export interface RunningLoopClock {
  readonly clock: LoopClock;
  stop(): void;
}

/** Starts a clock of this process's event loop. */
export function startLoopClock(): RunningLoopClock {
  const clock = new LoopClock(performance.now());
  const timer = setInterval(
    () => clock.recordTurn(performance.now()),
    INTERVAL_MS,
  );
  timer.unref();
  return {clock, stop: () => clearInterval(timer)};
}
