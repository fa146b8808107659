import {randomUUID} from 'node:crypto';
import PQueue from 'p-queue';
import type {Permit, PermitRequest} from '@marigoldspur/messages';

/** Options of a permit desk. */
export interface PermitDeskOptions {
  /** Loads that may run at once per store. */
  readonly loadsAtOnce: number;
  /** A permit that is not returned is free again after this, in milliseconds. */
  readonly validMs: number;
}

interface HeldPermit {
  release(): void;
}

/** Grants permits to load from each weight store, most urgent first. */
export class PermitDesk {
  private readonly queues = new Map<string, PQueue>();
  private readonly held = new Map<string, HeldPermit>();

  constructor(private readonly options: PermitDeskOptions) {}

  /** Waits up to the request's `waitMs` for a permit. */
  acquire(request: PermitRequest): Promise<Permit> {
    const {validMs} = this.options;
    return new Promise(resolve => {
      const patience = new AbortController();
      const timer = setTimeout(() => {
        patience.abort();
        resolve({validMs});
      }, request.waitMs);
      const grant = () => {
        clearTimeout(timer);
        return this.hold(permit => resolve({permit, validMs}));
      };
      this.queueOf(request.store)
        .add(grant, {signal: patience.signal, priority: urgency(request)})
        .catch(() => {});
    });
  }

  /** Returns a permit. */
  release(permit: string): void {
    this.held.get(permit)?.release();
  }

  /** Resolves when the permit is returned or its time is over. */
  private hold(granted: (permit: string) => void): Promise<void> {
    const permit = randomUUID();
    return new Promise(resolve => {
      const release = () => {
        clearTimeout(timer);
        this.held.delete(permit);
        resolve();
      };
      const timer = setTimeout(release, this.options.validMs);
      this.held.set(permit, {release});
      granted(permit);
    });
  }

  private queueOf(store: string): PQueue {
    let queue = this.queues.get(store);
    if (queue === undefined) {
      queue = new PQueue({concurrency: this.options.loadsAtOnce});
      this.queues.set(store, queue);
    }
    return queue;
  }
}

/** Larger is more urgent: by priority first, then prefetches last. */
function urgency(request: PermitRequest): number {
  const demand = request.waiters === 0 ? 0 : 10;
  return demand + (9 - request.priority);
}
