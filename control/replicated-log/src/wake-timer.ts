/** Wakes its owner at the earliest of the times that it was asked for. */
export class WakeTimer {
  private timer: NodeJS.Timeout | undefined;
  private at = Infinity;
  private stopped = false;

  constructor(private readonly onWake: () => void) {}

  /** Wakes at a time, in milliseconds, or before it. */
  wakeBy(time: number, now: number): void {
    if (this.stopped || time >= this.at) {
      return;
    }
    clearTimeout(this.timer);
    this.at = time;
    this.timer = setTimeout(() => this.wake(), Math.ceil(time - now));
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private wake(): void {
    this.at = Infinity;
    this.onWake();
  }
}
