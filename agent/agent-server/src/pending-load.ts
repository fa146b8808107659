import type {LoadPermitRequest} from './load-limiter.js';

/** An adapter that a request requires. */
export interface AdapterRequest {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  readonly digest: string;
  readonly store: string;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /**
   * Deadline after which the adapter is no longer useful, as a
   * `performance.now()` value.
   */
  readonly deadlineMs: number;
  /** Aborted when the request no longer needs the adapter. */
  readonly signal: AbortSignal;
}

/** A load and the requests that are waiting for it. */
export class PendingLoad {
  private readonly requests = new Set<AdapterRequest>();
  private readonly abandoned = new AbortController();
  private readonly done: Promise<void>;
  private resolveDone: () => void = () => {};
  private refusalRetryAfterMs: number | undefined;

  constructor(
    private readonly first: AdapterRequest,
    /** When the load was requested, as a `performance.now()` value. */
    readonly requestedAt: number,
  ) {
    this.requests.add(first);
    this.done = new Promise(resolve => {
      this.resolveDone = resolve;
    });
  }

  /** Adapter and version, `adapter@version`. */
  get model(): string {
    return this.first.model;
  }

  /** Digest of the weights to load. */
  get digest(): string {
    return this.first.digest;
  }

  /** Number of waiting requests. */
  get waiters(): number {
    return this.requests.size;
  }

  /** Aborted when no request is waiting any longer. */
  get signal(): AbortSignal {
    return this.abandoned.signal;
  }

  /**
   * Waits until the load ends, or the request is abandoned or its deadline
   * passes.
   */
  async wait(request: AdapterRequest): Promise<void> {
    this.requests.add(request);
    await Promise.race([this.done, waitUntilAbandoned(request, this.done)]);
    this.requests.delete(request);
    if (this.requests.size === 0) {
      this.abandoned.abort();
    }
  }

  /**
   * Marks the load as refused. Its requests may be retried after
   * `retryAfterMs`.
   */
  refuse(retryAfterMs: number): void {
    this.refusalRetryAfterMs = retryAfterMs;
  }

  /**
   * Delay after which the refused requests may be retried, in milliseconds;
   * undefined if the load was not refused.
   */
  get retryAfterMs(): number | undefined {
    return this.refusalRetryAfterMs;
  }

  /** Ends the wait of all requests. */
  complete(): void {
    this.resolveDone();
  }

  /** Remaining time of each waiting request, in milliseconds. */
  private remainingMs(): number[] {
    return [...this.requests].map(
      request => request.deadlineMs - performance.now(),
    );
  }

  /** Creates the permit request for the current state of the load. */
  createPermitRequest(agent: string): LoadPermitRequest {
    const priorities = [...this.requests].map(request => request.priority);
    return {
      store: this.first.store,
      agent,
      model: this.model,
      waiters: this.requests.size,
      priority: Math.min(this.first.priority, ...priorities),
      oldestWaitMs: performance.now() - this.requestedAt,
      usefulMs: Math.max(0, ...this.remainingMs()),
    };
  }
}

/**
 * Resolves when a request is abandoned, its deadline passes, or `done`
 * resolves.
 */
export function waitUntilAbandoned(
  request: AdapterRequest,
  done: Promise<void>,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      request.signal.removeEventListener('abort', finish);
      resolve();
    };
    const remainingMs = Math.max(0, request.deadlineMs - performance.now());
    const timer = setTimeout(finish, remainingMs);
    request.signal.addEventListener('abort', finish, {once: true});
    void done.then(finish);
  });
}
