import type {Queue, QueueAddOptions} from 'p-queue';

/** A task that the queue runs while it holds a slot. */
export type QueueTask = () => Promise<unknown>;

/** Identifies the customer that a queued task belongs to. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly customer?: string;
}

interface Waiter {
  readonly run: QueueTask;
  readonly id: string;
  readonly customer: string;
  priority: number;
}

/**
 * A p-queue queue that dequeues for the customer with the fewest running tasks;
 * the highest priority breaks ties.
 */
export class FairQueue implements Queue<QueueTask, FairQueueOptions> {
  private waiters: Waiter[] = [];
  private readonly runningByCustomer = new Map<string, number>();

  get size(): number {
    return this.waiters.length;
  }

  enqueue(run: QueueTask, options: Partial<FairQueueOptions> = {}): void {
    const {id = '', customer = '', priority = 0} = options;
    this.waiters.push({run, id, customer, priority});
  }

  dequeue(): QueueTask | undefined {
    const next = this.findNext();
    if (next === undefined) {
      return undefined;
    }
    this.waiters.splice(this.waiters.indexOf(next), 1);
    const {customer, run} = next;
    this.adjustRunning(customer, 1);
    return () => run().finally(() => this.adjustRunning(customer, -1));
  }

  filter(options: Readonly<Partial<FairQueueOptions>>): QueueTask[] {
    return this.waiters
      .filter(waiter => waiter.priority === options.priority)
      .map(waiter => waiter.run);
  }

  setPriority(id: string, priority: number): void {
    const waiter = this.waiters.find(other => other.id === id);
    if (waiter !== undefined) {
      waiter.priority = priority;
    }
  }

  remove(id: string): void {
    this.waiters = this.waiters.filter(waiter => waiter.id !== id);
  }

  private findNext(): Waiter | undefined {
    let best: Waiter | undefined;
    for (const waiter of this.waiters) {
      if (best === undefined || this.precedes(waiter, best)) {
        best = waiter;
      }
    }
    return best;
  }

  private precedes(waiter: Waiter, other: Waiter): boolean {
    const difference =
      this.runningCount(waiter.customer) - this.runningCount(other.customer);
    return difference === 0 ? waiter.priority > other.priority : difference < 0;
  }

  private runningCount(customer: string): number {
    return this.runningByCustomer.get(customer) ?? 0;
  }

  private adjustRunning(customer: string, step: 1 | -1): void {
    this.runningByCustomer.set(customer, this.runningCount(customer) + step);
  }
}
