import PQueue from 'p-queue';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {Refusal} from '@marigoldspur/faults';
import type {Settings} from '@marigoldspur/settings-schema';
import {
  FairQueue,
  type FairQueueOptions,
  type QueueTask,
} from './fair-queue.js';
import {WaitEstimator} from './wait-estimator.js';

/** The right to run one request. */
export interface AdmissionPermit {
  /** Gives the right back at time `now`, in milliseconds. */
  release(now: number): void;
}

/** Options of an admission. */
export interface AdmissionControllerOptions {
  /** Requests of all customers that run at once. */
  readonly maxRunning: number;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** The settings that bind admission. */
export type AdmissionSettings = Pick<
  Settings,
  'concurrency' | 'priority' | 'queueDeadlineMs' | 'queueLimit'
>;

interface CustomerQueue {
  readonly turns: PQueue;
  readonly estimate: WaitEstimator;
}

type SharedQueue = PQueue<FairQueue, FairQueueOptions>;
type EndTurn = () => void;

const LOWEST_PRIORITY = 9;
const MAX_RETRY_SECONDS = 60;
/** Spread of the times at which refused callers come back. */
const RETRY_SPREAD = 0.5;

/**
 * Admits requests within each customer's concurrency, most urgent first, and within
 * the entry's own, customers with the fewest running requests first.
 */
export class AdmissionController {
  private readonly customers = new Map<string, CustomerQueue>();
  private readonly shared: SharedQueue;

  constructor(private readonly options: AdmissionControllerOptions) {
    this.shared = new PQueue<FairQueue, FairQueueOptions>({
      concurrency: options.maxRunning,
      queueClass: FairQueue,
    });
  }

  /**
   * Waits for admission up to the queue's deadline; refuses at once when the queue is
   * full or the wait, as far as can be told at time `now`, would be too long.
   */
  async admit(
    customer: string,
    settings: AdmissionSettings,
    signal: AbortSignal,
    now: number,
  ): Promise<Result<AdmissionPermit, Refusal>> {
    const {turns, estimate} = this.queueOf(customer);
    turns.concurrency = settings.concurrency;
    const waitMs = estimate.estimateWaitMs(
      settings.concurrency,
      settings.priority,
    );
    if (estimate.waitingCount >= settings.queueLimit && waitMs > 0) {
      return Result.err(this.tooBusy('the queue is full', waitMs));
    }
    if (waitMs > settings.queueDeadlineMs) {
      return Result.err(this.tooBusy('the wait would be too long', waitMs));
    }
    const patience = this.startsAtOnce(turns)
      ? undefined
      : new BoundedSignal({
          timeoutMs: settings.queueDeadlineMs,
          parentSignals: [signal],
        });
    const priority = LOWEST_PRIORITY - settings.priority;
    estimate.addWaiting(settings.priority);
    const end = await this.takeTurns(
      turns,
      customer,
      priority,
      patience?.signal,
    );
    patience?.dispose();
    estimate.removeWaiting(settings.priority);
    if (end === undefined) {
      return Result.err(this.tooBusy('the wait was too long', waitMs));
    }
    estimate.addRunning();
    return Result.ok({
      release: at => {
        estimate.recordCompletion(at - now);
        end();
      },
    });
  }

  /** Whether a request that comes now waits for nobody. */
  private startsAtOnce(turns: PQueue): boolean {
    return [turns, this.shared].every(
      queue => queue.size === 0 && queue.pending < queue.concurrency,
    );
  }

  /** Takes a turn of the customer, then one of the entry; undefined when `signal` ends the wait. */
  private async takeTurns(
    turns: PQueue,
    customer: string,
    priority: number,
    signal: AbortSignal | undefined,
  ): Promise<EndTurn | undefined> {
    const own = await takeTurn(
      (run, patience) => turns.add(run, {priority, signal: patience}),
      signal,
    );
    if (own === undefined) {
      return undefined;
    }
    const shared = await takeTurn(
      (run, patience) =>
        this.shared.add(run, {customer, priority, signal: patience}),
      signal,
    );
    if (shared === undefined) {
      own();
      return undefined;
    }
    return () => {
      shared();
      own();
    };
  }

  private queueOf(customer: string): CustomerQueue {
    let queue = this.customers.get(customer);
    if (queue === undefined) {
      queue = {turns: new PQueue(), estimate: new WaitEstimator()};
      this.customers.set(customer, queue);
    }
    return queue;
  }

  private tooBusy(message: string, waitMs: number): Refusal {
    const spread = 1 + RETRY_SPREAD * this.options.random();
    const seconds = Math.ceil((waitMs * spread) / 1_000);
    const retryAfter = Math.min(MAX_RETRY_SECONDS, Math.max(1, seconds));
    return new Refusal('not-run', 429, 'too_busy', message, retryAfter);
  }
}

/** Waits for a turn in a queue; one that has begun lasts until it is ended. */
function takeTurn(
  add: (run: QueueTask, patience: AbortSignal | undefined) => Promise<unknown>,
  signal: AbortSignal | undefined,
): Promise<EndTurn | undefined> {
  return new Promise(resolve => {
    const patience = signal && new BoundedSignal({parentSignals: [signal]});
    const run = () =>
      new Promise<void>(endTurn => {
        patience?.dispose();
        resolve(endTurn);
      });
    add(run, patience?.signal).catch(() => resolve(undefined));
  });
}
