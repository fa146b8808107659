import PQueue from 'p-queue';
import {Result} from 'true-myth';
import {Refusal} from '@marigoldspur/faults';
import type {Settings} from '@marigoldspur/settings-schema';

/** The right to run one request. */
export interface Admitted {
  /** Gives the right back. */
  release(): void;
}

const LOWEST_PRIORITY = 9;
const RETRY_SOON_SECONDS = 1;

/** Admits requests within each customer's concurrency, most urgent first. */
export class Admission {
  private readonly queues = new Map<string, PQueue>();

  /** Waits for admission up to the queue's deadline; refuses at once when the queue is full. */
  admit(
    customer: string,
    settings: Settings,
    signal: AbortSignal,
  ): Promise<Result<Admitted, Refusal>> {
    const queue = this.queueOf(customer);
    queue.concurrency = settings.concurrency;
    const waits = queue.pending >= settings.concurrency;
    if (waits && queue.size >= settings.queueLimit) {
      return Promise.resolve(Result.err(tooBusy('the queue is full')));
    }
    return new Promise(resolve => {
      const patience = new AbortController();
      const end = () => patience.abort();
      const timer = setTimeout(end, settings.queueDeadlineMs);
      signal.addEventListener('abort', end, {once: true});
      const run = () =>
        new Promise<void>(release => {
          clearTimeout(timer);
          resolve(Result.ok({release}));
        });
      queue
        .add(run, {
          priority: LOWEST_PRIORITY - settings.priority,
          signal: patience.signal,
        })
        .catch(() => resolve(Result.err(tooBusy('the wait was too long'))))
        .finally(() => signal.removeEventListener('abort', end));
    });
  }

  private queueOf(customer: string): PQueue {
    let queue = this.queues.get(customer);
    if (queue === undefined) {
      queue = new PQueue();
      this.queues.set(customer, queue);
    }
    return queue;
  }
}

function tooBusy(message: string): Refusal {
  return new Refusal('not-run', 429, 'too_busy', message, RETRY_SOON_SECONDS);
}
