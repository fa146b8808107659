/** Options of an overload watch. */
export interface OverloadDetectorOptions {
  /** How long the queue has to be too long until overload begins, in milliseconds. */
  readonly beginAfterMs: () => number;
  /** How long it has to be short until overload ends, in milliseconds. */
  readonly endAfterMs: number;
}

/** Tells a lasting overload from a short burst. */
export class OverloadDetector {
  private overloaded = false;
  private agreedAt: number | undefined;

  constructor(private readonly options: OverloadDetectorOptions) {}

  /** Whether the queue has been too long for a while. */
  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** Takes note of whether the queue is too long at time `now`, in milliseconds. */
  update(tooLong: boolean, now: number): void {
    this.agreedAt ??= now;
    if (tooLong === this.overloaded) {
      this.agreedAt = now;
    } else if (now - this.agreedAt >= this.changeAfterMs) {
      this.overloaded = tooLong;
      this.agreedAt = now;
    }
  }

  private get changeAfterMs(): number {
    const {beginAfterMs, endAfterMs} = this.options;
    return this.overloaded ? endAfterMs : beginAfterMs();
  }
}
