/** Tells a lasting overload from a short burst. */
export class OverloadWatch {
  private overloaded = false;
  private agreedAt: number | undefined;

  /** `afterMs` is how long the queue has to be too long, or not, until the state changes, in milliseconds. */
  constructor(private readonly afterMs: number) {}

  /** Whether the queue has been too long for a while. */
  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** Takes note of whether the queue is too long at time `now`, in milliseconds. */
  note(tooLong: boolean, now: number): void {
    this.agreedAt ??= now;
    if (tooLong === this.overloaded) {
      this.agreedAt = now;
    } else if (now - this.agreedAt >= this.afterMs) {
      this.overloaded = tooLong;
      this.agreedAt = now;
    }
  }
}
