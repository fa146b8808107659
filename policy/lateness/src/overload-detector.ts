/** Options of an overload detector. */
export interface OverloadDetectorOptions {
  /**
   * How long the queue has to be too long before overload begins, in
   * milliseconds.
   */
  readonly beginAfterMs: () => number;
  /**
   * How long the queue has to be short before overload ends, in milliseconds.
   */
  readonly endAfterMs: number;
}

/** Distinguishes lasting overload from a short burst. */
export class OverloadDetector {
  private overloaded = false;
  private lastUnchangedAt: number | undefined;

  constructor(private readonly options: OverloadDetectorOptions) {}

  /** Whether the queue has been too long for at least `beginAfterMs`. */
  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** Records whether the queue is too long at time `now`, in milliseconds. */
  update(isQueueTooLong: boolean, now: number): void {
    this.lastUnchangedAt ??= now;
    if (isQueueTooLong === this.overloaded) {
      this.lastUnchangedAt = now;
    } else if (now - this.lastUnchangedAt >= this.changeDelayMs) {
      this.overloaded = isQueueTooLong;
      this.lastUnchangedAt = now;
    }
  }

  private get changeDelayMs(): number {
    const {beginAfterMs, endAfterMs} = this.options;
    return this.overloaded ? endAfterMs : beginAfterMs();
  }
}
