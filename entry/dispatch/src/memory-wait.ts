/** Options of a wait for memory. */
export interface MemoryWaitOptions {
  /** Whether there is memory now. */
  readonly hasMemory: () => boolean;
  /** Called once there is. */
  readonly onMemory: () => void;
  /** Called if there is none in time. */
  readonly onTimeout: () => void;
}

/** Time for which a response may wait for the memory for what is buffered, in milliseconds. */
const MAX_WAIT_MS = 1_000;
const POLL_INTERVAL_MS = 50;

/** Waits for memory, for a bounded time. */
export class MemoryWait {
  private timer: NodeJS.Timeout | undefined;
  private deadline = 0;

  constructor(private readonly options: MemoryWaitOptions) {}

  get isWaiting(): boolean {
    return this.timer !== undefined;
  }

  /** Starts to wait at `now`, in milliseconds, unless it waits already. */
  start(now: number): void {
    if (!this.isWaiting) {
      this.deadline = now + MAX_WAIT_MS;
      this.poll();
    }
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private poll(): void {
    this.timer = setTimeout(
      () => this.check(performance.now()),
      POLL_INTERVAL_MS,
    );
  }

  private check(now: number): void {
    const {hasMemory, onMemory, onTimeout} = this.options;
    if (hasMemory()) {
      this.stop();
      onMemory();
    } else if (now >= this.deadline) {
      this.stop();
      onTimeout();
    } else {
      this.poll();
    }
  }
}
