/** What ends a bounded signal. */
export interface BoundedSignalOptions {
  /** Time after which it aborts, in milliseconds; unbounded without it. */
  readonly timeoutMs?: number;
  /** Signals whose abort it follows. */
  readonly parentSignals?: readonly AbortSignal[];
}

/** Made once, since the reason of an abort carries a stack trace that costs more than the abort. */
const REASON = new Error('the request was given up');

/** A signal that aborts when its time is over or a signal that it follows aborts. */
export class BoundedSignal {
  private readonly controller = new AbortController();
  private readonly timer?: NodeJS.Timeout;
  private expired = false;

  constructor(private readonly options: BoundedSignalOptions) {
    const {parentSignals: follows = [], timeoutMs} = options;
    if (follows.some(signal => signal.aborted)) {
      this.abort();
      return;
    }
    follows.forEach(signal => signal.addEventListener('abort', this.abort));
    if (timeoutMs !== undefined) {
      this.timer = setTimeout(() => this.expire(), Math.max(0, timeoutMs));
    }
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether it aborted since its time was over. */
  get hasTimedOut(): boolean {
    return this.expired;
  }

  /** Aborts it now. */
  readonly abort = (): void => {
    this.dispose();
    this.controller.abort(REASON);
  };

  /** Lifts the bound in time; the signals that it follows still abort it. */
  cancelTimeout(): void {
    clearTimeout(this.timer);
  }

  /** Frees what it holds; it aborts no more by itself. */
  dispose(): void {
    this.cancelTimeout();
    this.options.parentSignals?.forEach(signal =>
      signal.removeEventListener('abort', this.abort),
    );
  }

  private expire(): void {
    this.expired = true;
    this.abort();
  }
}
