/** Calls `onWake` at the earliest requested time. */
export class WakeTimer {
  private timer: NodeJS.Timeout | undefined;
  private wakeAt = Infinity;
  private isStopped = false;

  constructor(private readonly onWake: () => void) {}

  /** Requests a wake-up no later than `time`, in milliseconds. */
  wakeBy(time: number, now: number): void {
    if (this.isStopped || time >= this.wakeAt) {
      return;
    }
    clearTimeout(this.timer);
    this.wakeAt = time;
    this.timer = setTimeout(() => this.wake(), Math.ceil(time - now));
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private wake(): void {
    this.wakeAt = Infinity;
    this.onWake();
  }
}
