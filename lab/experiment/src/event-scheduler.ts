import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  readonly at: number;
  /** Orders events with the same time by when they were scheduled. */
  readonly sequence: number;
  readonly run: () => void;
}

/** Runs the events of a simulation in the order of their simulated times. */
export class EventScheduler {
  private readonly events = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.at - b.at || a.sequence - b.sequence,
  );
  private nextSequence = 0;
  private time = 0;

  /** Simulated time, in milliseconds. */
  get now(): number {
    return this.time;
  }

  /** Schedules an event at time `at`, in milliseconds, or now if that time has passed. */
  scheduleAt(at: number, run: () => void): void {
    this.events.push({
      at: Math.max(at, this.time),
      sequence: this.nextSequence++,
      run,
    });
  }

  /** Schedules an event after a delay, in milliseconds. */
  scheduleAfter(delayMs: number, run: () => void): void {
    this.scheduleAt(this.time + delayMs, run);
  }

  /** Runs all events up to and including time `end`, in milliseconds. */
  runUntil(end: number): void {
    while (this.events.length > 0 && this.events.peek()!.at <= end) {
      const event = this.events.pop()!;
      this.time = event.at;
      event.run();
    }
    this.time = end;
  }
}
