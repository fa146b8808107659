/** Targets that are remembered; those that were confirmed longest ago are dropped. */
const MAX_TARGETS = 20_000;

/** When the agent of each target was last told that its target is its own. */
export class ConfirmationTimes {
  private readonly times = new Map<string, number>();

  /** Whatever is not known was confirmed at `unknownAt`, in milliseconds, at the latest. */
  constructor(private unknownAt: number) {}

  /** Takes note of a confirmation at time `now`. */
  record(target: string, now: number): void {
    const time = Math.max(now, this.lastConfirmedAt(target));
    this.times.delete(target);
    this.times.set(target, time);
    if (this.times.size > MAX_TARGETS) {
      const [oldest, at] = this.times.entries().next().value!;
      this.times.delete(oldest);
      this.unknownAt = Math.max(this.unknownAt, at);
    }
  }

  /** The latest time at which an agent of the target may have been confirmed. */
  lastConfirmedAt(target: string): number {
    return this.times.get(target) ?? this.unknownAt;
  }
}
