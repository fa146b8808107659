import PQueue from 'p-queue';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import {Refusal} from '@marigoldspur/faults';
import type {Settings} from '@marigoldspur/settings-schema';
import {
  FairQueue,
  type FairQueueOptions,
  type QueueTask,
} from './fair-queue.js';
import {WaitEstimator} from './wait-estimator.js';

/** Permission to run one request. */
export interface AdmissionPermit {
  /** Releases the permit at time `now`, in milliseconds. */
  release(now: number): void;
}

/** Options of an admission controller. */
export interface AdmissionControllerOptions {
  /** Maximum number of concurrent requests over all customers. */
  readonly maxRunning: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** The settings that admission uses. */
export type AdmissionSettings = Pick<
  Settings,
  'concurrency' | 'priority' | 'queueDeadlineMs' | 'queueLimit'
>;

interface CustomerQueue {
  readonly queue: PQueue;
  readonly estimator: WaitEstimator;
}

type SharedQueue = PQueue<FairQueue, FairQueueOptions>;
type ReleaseSlot = () => void;

const LOWEST_PRIORITY = 9;
const MAX_RETRY_AFTER_SECONDS = 60;
/** Maximum jitter of a refused caller's retry delay, as a share of the delay. */
const RETRY_JITTER_SHARE = 0.5;

/**
 * Limits concurrent requests per customer and for the whole entry. Within a
 * customer the most urgent request runs first; between customers, the one with
 * the fewest running requests goes first.
 */
export class AdmissionController {
  private readonly customerQueues = new Map<string, CustomerQueue>();
  private readonly sharedQueue: SharedQueue;

  constructor(private readonly options: AdmissionControllerOptions) {
    this.sharedQueue = new PQueue<FairQueue, FairQueueOptions>({
      concurrency: options.maxRunning,
      queueClass: FairQueue,
    });
  }

  /**
   * Waits for a permit until the queue deadline. Refuses immediately if the
   * queue is full or if the wait estimated at time `now` exceeds the deadline.
   */
  async admit(
    customer: string,
    settings: AdmissionSettings,
    signal: AbortSignal,
    now: number,
  ): Promise<Result<AdmissionPermit, Refusal>> {
    const {queue, estimator} = this.queueOf(customer);
    queue.concurrency = settings.concurrency;
    const waitMs = estimator.estimateWaitMs(
      settings.concurrency,
      settings.priority,
    );
    if (estimator.waitingCount >= settings.queueLimit && waitMs > 0) {
      return Result.err(
        this.createRefusal('the queue of the customer is full', waitMs),
      );
    }
    if (waitMs > settings.queueDeadlineMs) {
      return Result.err(
        this.createRefusal(
          'the expected wait exceeds the queue deadline',
          waitMs,
        ),
      );
    }
    const deadlineSignal = this.canStartImmediately(queue)
      ? undefined
      : new BoundedSignal({
          timeoutMs: settings.queueDeadlineMs,
          parentSignals: [signal],
        });
    const priority = LOWEST_PRIORITY - settings.priority;
    estimator.addWaiting(settings.priority);
    const releaseSlots = await this.acquireSlots(
      queue,
      customer,
      priority,
      deadlineSignal?.signal,
    );
    deadlineSignal?.dispose();
    estimator.removeWaiting(settings.priority);
    if (releaseSlots === undefined) {
      return Result.err(
        this.createRefusal(
          'the request waited until the queue deadline',
          waitMs,
        ),
      );
    }
    estimator.addRunning();
    return Result.ok({
      release: at => {
        estimator.recordCompletion(at - now);
        releaseSlots();
      },
    });
  }

  /** Whether a new request would start without waiting. */
  private canStartImmediately(customerQueue: PQueue): boolean {
    return [customerQueue, this.sharedQueue].every(
      queue => queue.size === 0 && queue.pending < queue.concurrency,
    );
  }

  /**
   * Acquires a slot in the customer's queue, then one in the shared queue;
   * undefined if `signal` aborts the wait.
   */
  private async acquireSlots(
    queue: PQueue,
    customer: string,
    priority: number,
    signal: AbortSignal | undefined,
  ): Promise<ReleaseSlot | undefined> {
    const releaseOwn = await acquireSlot(
      (run, slotSignal) => queue.add(run, {priority, signal: slotSignal}),
      signal,
    );
    if (releaseOwn === undefined) {
      return undefined;
    }
    const releaseShared = await acquireSlot(
      (run, slotSignal) =>
        this.sharedQueue.add(run, {customer, priority, signal: slotSignal}),
      signal,
    );
    if (releaseShared === undefined) {
      releaseOwn();
      return undefined;
    }
    return () => {
      releaseShared();
      releaseOwn();
    };
  }

  private queueOf(customer: string): CustomerQueue {
    let customerQueue = this.customerQueues.get(customer);
    if (customerQueue === undefined) {
      customerQueue = {queue: new PQueue(), estimator: new WaitEstimator()};
      this.customerQueues.set(customer, customerQueue);
    }
    return customerQueue;
  }

  private createRefusal(message: string, waitMs: number): Refusal {
    const jitter = 1 + RETRY_JITTER_SHARE * this.options.random();
    const seconds = Math.ceil((waitMs * jitter) / 1_000);
    const retryAfter = Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, seconds));
    return new Refusal('not-run', 429, 'too_busy', message, retryAfter);
  }
}

/**
 * Waits for a slot in a queue. Once acquired, the slot is held until the
 * returned function is called, even if `signal` aborts.
 */
function acquireSlot(
  add: (
    run: QueueTask,
    slotSignal: AbortSignal | undefined,
  ) => Promise<unknown>,
  signal: AbortSignal | undefined,
): Promise<ReleaseSlot | undefined> {
  return new Promise(resolve => {
    const linkedSignal = signal && new BoundedSignal({parentSignals: [signal]});
    const run = () =>
      new Promise<void>(releaseSlot => {
        linkedSignal?.dispose();
        resolve(releaseSlot);
      });
    add(run, linkedSignal?.signal).catch(() => resolve(undefined));
  });
}
