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
  /** When the queue last matched the current state. */
  private lastMatchAt: number | undefined;

  constructor(private readonly options: OverloadDetectorOptions) {}

  /** Whether the queue has been too long for at least `beginAfterMs`. */
  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** Records whether the queue is too long at time `now`, in milliseconds. */
  update(isQueueTooLong: boolean, now: number): void {
    this.lastMatchAt ??= now;
    if (isQueueTooLong === this.overloaded) {
      this.lastMatchAt = now;
    } else if (now - this.lastMatchAt >= this.changeDelayMs) {
      this.overloaded = isQueueTooLong;
      this.lastMatchAt = now;
    }
  }

  private get changeDelayMs(): number {
    const {beginAfterMs, endAfterMs} = this.options;
    return this.overloaded ? endAfterMs : beginAfterMs();
  }
}
