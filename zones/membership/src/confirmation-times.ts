/** Maximum number of tracked targets; beyond it the least recently confirmed one is dropped. */
const MAX_TRACKED_TARGETS = 20_000;

/** The time at which control last confirmed each target's agent as its holder. */
export class ConfirmationTimes {
  private readonly times = new Map<string, number>();

  /** Targets that are not tracked were last confirmed no later than `untrackedAt`, in milliseconds. */
  constructor(private untrackedAt: number) {}

  /** Records a confirmation at time `now`, in milliseconds. */
  record(target: string, now: number): void {
    const time = Math.max(now, this.lastConfirmedAt(target));
    this.times.delete(target);
    this.times.set(target, time);
    if (this.times.size > MAX_TRACKED_TARGETS) {
      const [oldest, at] = this.times.entries().next().value!;
      this.times.delete(oldest);
      this.untrackedAt = Math.max(this.untrackedAt, at);
    }
  }

  /** Returns the latest time at which an agent of the target may have been confirmed. */
  lastConfirmedAt(target: string): number {
    return this.times.get(target) ?? this.untrackedAt;
  }
}
