import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {ControlClient} from '@marigoldspur/control-client';
import {Fault} from '@marigoldspur/faults';
import type {PermitRequest} from '@marigoldspur/messages';

/** Permission for one load from the weight store. */
export interface LoadPermit {
  /**
   * Releases the permit. `loaded` is whether the load succeeded; `used` is false
   * if no load was started.
   */
  release(loaded: boolean, used?: boolean): void;
}

/** Current data of a load for which an agent requests a permit. */
export type LoadPermitRequest = Omit<PermitRequest, 'waitMs'>;

/**
 * Indicates that a load cannot finish in time, so that the waiting requests are
 * refused immediately.
 */
export class LoadRefused extends Fault {
  constructor(
    /** Delay after which a new attempt is reasonable, in milliseconds. */
    readonly retryAfterMs: number,
  ) {
    super('REFUSED', 'the load would finish after the deadline');
    this.name = 'LoadRefused';
  }
}

/** Limits the loads from a weight store by granting permits. */
export interface LoadLimiter {
  /**
   * Waits for a permit until `signal` is aborted. `getRequest` returns the
   * current data of the load.
   */
  acquire(
    getRequest: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>>;
}

/** Options of a local load limiter. */
export interface LocalLoadLimiterOptions {
  /** Maximum number of loads per second of this agent. */
  readonly loadsPerSecond: number;
}

/** Options of a fallback load limiter. */
export interface FallbackLoadLimiterOptions {
  readonly control: LoadLimiter;
  readonly local: LoadLimiter;
  /** Whether control is unreachable. */
  readonly isControlUnreachable: () => boolean;
  /** Called when a load uses the agent's local limit. */
  readonly onFallback: () => void;
}

const PERMIT_WAIT_MS = 5_000;
const CALL_MARGIN_MS = 1_000;
const RELEASE_TIMEOUT_MS = 5_000;
const CONTROL_POLL_MS = 200;
const MS_PER_SECOND = 1_000;

/** Requests each permit from control. */
export class ControlLoadLimiter implements LoadLimiter {
  constructor(private readonly client: ControlClient) {}

  async acquire(
    getRequest: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>> {
    while (!signal.aborted) {
      const pending = this.requestOnce(getRequest());
      const answer = await Promise.race([pending, waitUntilAborted(signal)]);
      if (answer === undefined) {
        void pending.then(late =>
          late.map(permit => permit?.release(false, false)),
        );
      } else if (answer.isErr) {
        return Result.err(answer.error);
      } else if (answer.value !== undefined) {
        return Result.ok(answer.value);
      }
    }
    return abandonedResult();
  }

  /**
   * Sends one request; resolves with undefined if no permit became available.
   */
  private async requestOnce(
    request: LoadPermitRequest,
  ): Promise<Result<LoadPermit | undefined, Fault>> {
    const answer = await this.client.call(
      replica =>
        replica.acquirePermit.mutate(
          {...request, waitMs: PERMIT_WAIT_MS},
          {signal: AbortSignal.timeout(PERMIT_WAIT_MS + CALL_MARGIN_MS)},
        ),
      performance.now() + PERMIT_WAIT_MS + CALL_MARGIN_MS,
    );
    if (answer.isOk && answer.value.refusal !== undefined) {
      return Result.err(new LoadRefused(answer.value.refusal.retryAfterMs));
    }
    return answer.map(({permit}) =>
      permit === undefined
        ? undefined
        : {
            release: (loaded, used = true) =>
              this.release(permit, loaded, used),
          },
    );
  }

  private release(permit: string, loaded: boolean, used: boolean): void {
    void this.client.call(
      (replica, signal) =>
        replica.releasePermit.mutate({permit, loaded, used}, {signal}),
      performance.now() + RELEASE_TIMEOUT_MS,
    );
  }
}

/**
 * Grants permits at the agent's share of the store's rate, for one load at a
 * time.
 */
export class LocalLoadLimiter implements LoadLimiter {
  private readonly queue: PQueue;

  constructor(options: LocalLoadLimiterOptions) {
    this.queue = new PQueue({
      concurrency: 1,
      interval: MS_PER_SECOND / options.loadsPerSecond,
      intervalCap: 1,
    });
  }

  acquire(
    getRequest: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>> {
    return new Promise(resolve => {
      const run = () =>
        new Promise<void>(release =>
          resolve(Result.ok({release: () => release()})),
        );
      this.queue
        .add(run, {signal, priority: -getRequest().priority})
        .catch(() => resolve(abandonedResult()));
    });
  }
}

/**
 * Requests permits from control, or uses the local limit while control is
 * unreachable. A waiting load switches between the two when control becomes
 * unreachable or reachable.
 */
export class FallbackLoadLimiter implements LoadLimiter {
  constructor(private readonly options: FallbackLoadLimiterOptions) {}

  async acquire(
    getRequest: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>> {
    const {control, isControlUnreachable, local, onFallback} = this.options;
    while (!signal.aborted) {
      const wasUnreachable = isControlUnreachable();
      const reachabilityChanged = new AbortController();
      const poll = setInterval(() => {
        if (isControlUnreachable() !== wasUnreachable) {
          reachabilityChanged.abort();
        }
      }, CONTROL_POLL_MS);
      const stopSignal = AbortSignal.any([signal, reachabilityChanged.signal]);
      if (wasUnreachable) {
        onFallback();
      }
      const limiter = wasUnreachable ? local : control;
      const permit = await limiter.acquire(getRequest, stopSignal);
      clearInterval(poll);
      if (permit.isOk || permit.error instanceof LoadRefused) {
        return permit;
      }
      if (!reachabilityChanged.signal.aborted) {
        await waitUntilAborted(
          AbortSignal.any([signal, AbortSignal.timeout(CONTROL_POLL_MS)]),
        );
      }
    }
    return abandonedResult();
  }
}

function abandonedResult<T>(): Result<T, Fault> {
  return Result.err(new Fault('TIMEOUT', 'no request is waiting for the load'));
}

function waitUntilAborted(signal: AbortSignal): Promise<undefined> {
  return new Promise(resolve => {
    if (signal.aborted) {
      resolve(undefined);
    }
    signal.addEventListener('abort', () => resolve(undefined), {once: true});
  });
}
