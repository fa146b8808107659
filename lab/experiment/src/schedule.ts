import TinyQueue from 'tinyqueue';

interface Step {
  readonly at: number;
  readonly number: number;
  readonly run: () => void;
}

/** Runs steps in the order of their times. */
export class Schedule {
  private readonly steps = new TinyQueue<Step>(
    [],
    (a, b) => a.at - b.at || a.number - b.number,
  );
  private count = 0;
  private time = 0;

  /** The present time, in milliseconds. */
  get now(): number {
    return this.time;
  }

  /** Runs a step at time `at`, in milliseconds. */
  at(at: number, run: () => void): void {
    this.steps.push({at: Math.max(at, this.time), number: this.count++, run});
  }

  /** Runs a step after a delay, in milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.at(this.time + delayMs, run);
  }

  /** Runs all steps up to time `end`, in milliseconds. */
  runUntil(end: number): void {
    while (this.steps.length > 0 && this.steps.peek()!.at <= end) {
      const step = this.steps.pop()!;
      this.time = step.at;
      step.run();
    }
    this.time = end;
  }
}
