import type {Queue, QueueAddOptions} from 'p-queue';

/** What a queue runs for one turn. */
export type QueueTask = () => Promise<unknown>;

/** Whose turn it is. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly customer?: string;
}

interface Waiter {
  readonly run: QueueTask;
  readonly id: string;
  readonly customer: string;
  priority: number;
}

/** Gives the next turn to the customer with the fewest running ones; a tie goes to the most urgent. */
export class FairQueue implements Queue<QueueTask, FairQueueOptions> {
  private waiters: Waiter[] = [];
  private readonly running = new Map<string, number>();

  get size(): number {
    return this.waiters.length;
  }

  enqueue(run: QueueTask, options: Partial<FairQueueOptions> = {}): void {
    const {id = '', customer = '', priority = 0} = options;
    this.waiters.push({run, id, customer, priority});
  }

  dequeue(): QueueTask | undefined {
    const next = this.next();
    if (next === undefined) {
      return undefined;
    }
    this.waiters.splice(this.waiters.indexOf(next), 1);
    const {customer, run} = next;
    this.count(customer, 1);
    return () => run().finally(() => this.count(customer, -1));
  }

  filter(options: Readonly<Partial<FairQueueOptions>>): QueueTask[] {
    return this.waiters
      .filter(waiter => waiter.priority === options.priority)
      .map(waiter => waiter.run);
  }

  setPriority(id: string, priority: number): void {
    const waiter = this.waiters.find(known => known.id === id);
    if (waiter !== undefined) {
      waiter.priority = priority;
    }
  }

  remove(id: string): void {
    this.waiters = this.waiters.filter(waiter => waiter.id !== id);
  }

  private next(): Waiter | undefined {
    let best: Waiter | undefined;
    for (const waiter of this.waiters) {
      if (best === undefined || this.goesBefore(waiter, best)) {
        best = waiter;
      }
    }
    return best;
  }

  private goesBefore(waiter: Waiter, other: Waiter): boolean {
    const difference =
      this.runningOf(waiter.customer) - this.runningOf(other.customer);
    return difference === 0 ? waiter.priority > other.priority : difference < 0;
  }

  private runningOf(customer: string): number {
    return this.running.get(customer) ?? 0;
  }

  private count(customer: string, step: 1 | -1): void {
    this.running.set(customer, this.runningOf(customer) + step);
  }
}
