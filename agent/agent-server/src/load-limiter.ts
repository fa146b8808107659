import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {ControlClient} from '@marigoldspur/control-client';
import {Fault} from '@marigoldspur/faults';
import type {PermitRequest} from '@marigoldspur/messages';

/** The right to load from the weight store once. */
export interface LoadPermit {
  /** Gives the right back; `used` is false where no load was begun. */
  release(loaded: boolean, used?: boolean): void;
}

/** What an agent asks a load for, as it stands now. */
export type LoadPermitRequest = Omit<PermitRequest, 'waitMs'>;

/** Says that a load can't be in time, so that its requests are refused at once. */
export class LoadRefused extends Fault {
  constructor(
    /** When it makes sense to ask again, in milliseconds. */
    readonly retryAfterMs: number,
  ) {
    super('REFUSED', 'the load would end too late');
    this.name = 'LoadRefused';
  }
}

/** Hands out the right to load from a weight store. */
export interface LoadLimiter {
  /** Waits for a ticket until `signal` is aborted; `ask` tells who waits for the load now. */
  acquire(
    ask: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>>;
}

/** Options of a gate that works without control. */
export interface LocalLoadLimiterOptions {
  /** Loads a second that this agent may do. */
  readonly loadsPerSecond: number;
}

/** Options of a gate that turns from control to the agent's share. */
export interface FallbackLoadLimiterOptions {
  readonly control: LoadLimiter;
  readonly share: LoadLimiter;
  /** Whether control is away. */
  readonly isAway: () => boolean;
  /** Called when a load goes at the agent's share. */
  readonly turned: () => void;
}

const PERMIT_WAIT_MS = 5_000;
const CALL_SLACK_MS = 1_000;
const RELEASE_WAIT_MS = 5_000;
const AWAY_POLL_MS = 200;
const SECOND_MS = 1_000;

/** Asks control for each ticket. */
export class ControlLoadLimiter implements LoadLimiter {
  constructor(private readonly client: ControlClient) {}

  async acquire(
    ask: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>> {
    while (!signal.aborted) {
      const asked = this.askOnce(ask());
      const answer = await Promise.race([asked, aborted(signal)]);
      if (answer === undefined) {
        void asked.then(late =>
          late.map(ticket => ticket?.release(false, false)),
        );
      } else if (answer.isErr) {
        return Result.err(answer.error);
      } else if (answer.value !== undefined) {
        return Result.ok(answer.value);
      }
    }
    return notWanted();
  }

  /** Asks once; undefined where no permit came free. */
  private async askOnce(
    ask: LoadPermitRequest,
  ): Promise<Result<LoadPermit | undefined, Fault>> {
    const answer = await this.client.call(
      replica =>
        replica.acquirePermit.mutate(
          {...ask, waitMs: PERMIT_WAIT_MS},
          {signal: AbortSignal.timeout(PERMIT_WAIT_MS + CALL_SLACK_MS)},
        ),
      performance.now() + PERMIT_WAIT_MS + CALL_SLACK_MS,
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
      performance.now() + RELEASE_WAIT_MS,
    );
  }
}

/** Hands out tickets at the agent's share of the store's rate, one load at a time. */
export class LocalLoadLimiter implements LoadLimiter {
  private readonly queue: PQueue;

  constructor(options: LocalLoadLimiterOptions) {
    this.queue = new PQueue({
      concurrency: 1,
      interval: SECOND_MS / options.loadsPerSecond,
      intervalCap: 1,
    });
  }

  acquire(
    ask: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>> {
    return new Promise(resolve => {
      const run = () =>
        new Promise<void>(release =>
          resolve(Result.ok({release: () => release()})),
        );
      this.queue
        .add(run, {signal, priority: -ask().priority})
        .catch(() => resolve(notWanted()));
    });
  }
}

/**
 * Asks control, or keeps to the agent's share while control is away; a load that waits
 * turns from one to the other with control.
 */
export class FallbackLoadLimiter implements LoadLimiter {
  constructor(private readonly options: FallbackLoadLimiterOptions) {}

  async acquire(
    ask: () => LoadPermitRequest,
    signal: AbortSignal,
  ): Promise<Result<LoadPermit, Fault>> {
    const {control, isAway, share, turned} = this.options;
    while (!signal.aborted) {
      const away = isAway();
      const changed = new AbortController();
      const poll = setInterval(() => {
        if (isAway() !== away) {
          changed.abort();
        }
      }, AWAY_POLL_MS);
      const until = AbortSignal.any([signal, changed.signal]);
      if (away) {
        turned();
      }
      const gate = away ? share : control;
      const ticket = await gate.acquire(ask, until);
      clearInterval(poll);
      if (ticket.isOk || ticket.error instanceof LoadRefused) {
        return ticket;
      }
      if (!changed.signal.aborted) {
        await aborted(
          AbortSignal.any([signal, AbortSignal.timeout(AWAY_POLL_MS)]),
        );
      }
    }
    return notWanted();
  }
}

function notWanted<T>(): Result<T, Fault> {
  return Result.err(new Fault('TIMEOUT', 'nobody waits for the load any more'));
}

function aborted(signal: AbortSignal): Promise<undefined> {
  return new Promise(resolve => {
    if (signal.aborted) {
      resolve(undefined);
    }
    signal.addEventListener('abort', () => resolve(undefined), {once: true});
  });
}
