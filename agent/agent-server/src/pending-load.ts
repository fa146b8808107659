import type {LoadPermitRequest} from './load-limiter.js';

/** An adapter that a request needs. */
export interface AdapterRequest {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  readonly digest: string;
  readonly store: string;
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Latest time at which it is of use, a `performance.now()` time. */
  readonly deadlineMs: number;
  /** Aborted once the request no longer needs it. */
  readonly signal: AbortSignal;
}

/** A load with the requests that wait for it. */
export class PendingLoad {
  private readonly needs = new Set<AdapterRequest>();
  private readonly unwanted = new AbortController();
  private readonly done: Promise<void>;
  private finish: () => void = () => {};
  private refusedForMs: number | undefined;

  constructor(
    private readonly first: AdapterRequest,
    /** When it was asked for, a `performance.now()` time. */
    readonly askedAt: number,
  ) {
    this.needs.add(first);
    this.done = new Promise(resolve => {
      this.finish = resolve;
    });
  }

  get model(): string {
    return this.first.model;
  }

  get digest(): string {
    return this.first.digest;
  }

  /** Requests that wait. */
  get waiters(): number {
    return this.needs.size;
  }

  /** Aborted once nobody waits any more. */
  get signal(): AbortSignal {
    return this.unwanted.signal;
  }

  /** Waits until the load ends, or the need is given up or too late. */
  async wait(need: AdapterRequest): Promise<void> {
    this.needs.add(need);
    await Promise.race([this.done, waitUntilAbandoned(need, this.done)]);
    this.needs.delete(need);
    if (this.needs.size === 0) {
      this.unwanted.abort();
    }
  }

  /** Takes note that the load is refused; its requests may come back after `retryAfterMs`. */
  refuse(retryAfterMs: number): void {
    this.refusedForMs = retryAfterMs;
  }

  /** When the refused requests may come back, in milliseconds; undefined where the load is not refused. */
  get retryAfterMs(): number | undefined {
    return this.refusedForMs;
  }

  /** Wakes everyone who waits. */
  settle(): void {
    this.finish();
  }

  /** How long the load is of use to each who waits, in milliseconds. */
  private leftMs(): number[] {
    return [...this.needs].map(need => need.deadlineMs - performance.now());
  }

  /** The request for a permit, as it stands now. */
  ask(agent: string): LoadPermitRequest {
    const priorities = [...this.needs].map(need => need.priority);
    return {
      store: this.first.store,
      agent,
      model: this.model,
      waiters: this.needs.size,
      priority: Math.min(this.first.priority, ...priorities),
      oldestWaitMs: performance.now() - this.askedAt,
      usefulMs: Math.max(0, ...this.leftMs()),
    };
  }
}

/** Resolves when a need is given up or its deadline passes, or with `done`. */
export function waitUntilAbandoned(
  need: AdapterRequest,
  done: Promise<void>,
): Promise<void> {
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(timer);
      need.signal.removeEventListener('abort', end);
      resolve();
    };
    const leftMs = Math.max(0, need.deadlineMs - performance.now());
    const timer = setTimeout(end, leftMs);
    need.signal.addEventListener('abort', end, {once: true});
    void done.then(end);
  });
}
