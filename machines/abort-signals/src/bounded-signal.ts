/** What aborts a bounded signal. */
export interface BoundedSignalOptions {
  /** Time after which the signal aborts, in milliseconds; no timeout if absent. */
  readonly timeoutMs?: number;
  /** Signals whose abort also aborts this one. */
  readonly parentSignals?: readonly AbortSignal[];
}

/** Longest delay of a timer, in milliseconds; with a longer one it fires at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** Shared by all aborts, since capturing a stack trace for each reason costs more than the abort. */
const ABORT_REASON = new Error('the request was aborted');

/** A signal that aborts after a timeout or when one of its parent signals aborts. */
export class BoundedSignal {
  private readonly controller = new AbortController();
  private readonly timer?: NodeJS.Timeout;
  private timedOut = false;

  constructor(private readonly options: BoundedSignalOptions) {
    const {parentSignals = [], timeoutMs} = options;
    if (parentSignals.some(signal => signal.aborted)) {
      this.abort();
      return;
    }
    parentSignals.forEach(signal =>
      signal.addEventListener('abort', this.abort),
    );
    if (timeoutMs !== undefined) {
      const delayMs = Math.min(MAX_TIMER_MS, Math.max(0, timeoutMs));
      this.timer = setTimeout(() => this.onTimeout(), delayMs);
    }
  }

  /** The signal to pass to the bounded operation. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the signal aborted because its timeout expired. */
  get hasTimedOut(): boolean {
    return this.timedOut;
  }

  /** Aborts the signal immediately. */
  readonly abort = (): void => {
    this.dispose();
    this.controller.abort(ABORT_REASON);
  };

  /** Cancels the timeout; the parent signals still abort this one. */
  cancelTimeout(): void {
    clearTimeout(this.timer);
  }

  /** Removes the timer and the listeners, so that only `abort` still aborts the signal. */
  dispose(): void {
    this.cancelTimeout();
    this.options.parentSignals?.forEach(signal =>
      signal.removeEventListener('abort', this.abort),
    );
  }

  private onTimeout(): void {
    this.timedOut = true;
    this.abort();
  }
}
