import {randomUUID} from 'node:crypto';
import type {PermitAnswer, PermitRequest} from '@marigoldspur/messages';
import {
  PermitQueue,
  type PermitQueueOptions,
  type PermitOutcome,
  type RequestedLoad,
} from './permit-queue.js';

interface PendingRequest {
  readonly resolve: (answer: Omit<PermitAnswer, 'validMs'>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Time to the deadline of a load whose request does not state `usefulMs`. */
const DEFAULT_USEFUL_MS = 30_000;
/** A report releases only permits of at least this age, because it may predate a later grant. */
const REPORT_DELAY_MS = 1_000;

/** Grants the permits of one weight store: a permit queue with its timers. */
export class StorePermitScheduler {
  private readonly queue: PermitQueue;
  private readonly pendingRequests = new Map<string, PendingRequest>();
  /** Load ID by permit. */
  private readonly permits = new Map<string, string>();
  private wakeTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PermitQueueOptions) {
    this.queue = new PermitQueue(options);
  }

  /** Resolves with a permit or a refusal, or without either after the request's `waitMs`. */
  acquire(request: PermitRequest): Promise<PermitAnswer> {
    const load = toRequestedLoad(request, performance.now());
    const {validMs} = this.options;
    const held = this.permitOf(load.id);
    if (held !== undefined) {
      return Promise.resolve({permit: held, validMs});
    }
    this.answer(load.id, {});
    return new Promise(resolve => {
      this.pendingRequests.set(load.id, {
        resolve: answer => resolve({...answer, validMs}),
        timer: setTimeout(() => this.handleTimeout(load.id), request.waitMs),
      });
      this.queue.enqueue(load);
      this.schedule();
    });
  }

  /** Releases a permit; returns false if it does not belong to this store. */
  release(permit: string, outcome: PermitOutcome): boolean {
    const id = this.permits.get(permit);
    if (id === undefined) {
      return false;
    }
    this.permits.delete(permit);
    this.queue.release(id, outcome, performance.now());
    this.schedule();
    return true;
  }

  /** Releases the permits of an agent for models that it no longer loads or waits for. */
  reconcile(agent: string, loading: readonly string[], now: number): void {
    const kept = new Set(loading.map(model => loadId(agent, model)));
    for (const [permit, id] of this.permits) {
      const isStale = id.startsWith(loadId(agent, '')) && !kept.has(id);
      if (isStale && this.queue.heldForMs(id, now) >= REPORT_DELAY_MS) {
        this.release(permit, 'unused');
      }
    }
  }

  private handleTimeout(id: string): void {
    this.queue.withdraw(id);
    this.answer(id, {
      predictedWaitMs: this.queue.predictedWaitMs(performance.now()),
    });
  }

  private schedule(): void {
    const now = performance.now();
    for (const load of this.queue.dropLate(now)) {
      const retryAfterMs = this.queue.predictedWaitMs(now);
      this.answer(load.id, {refusal: {reason: 'too-late', retryAfterMs}});
    }
    let load = this.queue.grantNext(now);
    while (load !== undefined) {
      const permit = randomUUID();
      this.permits.set(permit, load.id);
      this.answer(load.id, {permit});
      load = this.queue.grantNext(now);
    }
    this.removeExpiredPermits();
    this.setWakeTimer(now);
  }

  /** Sets a timer for the next time at which the queue changes without a call. */
  private setWakeTimer(now: number): void {
    clearTimeout(this.wakeTimer);
    const nextAt = this.queue.nextEventAt(now);
    if (nextAt !== undefined) {
      this.wakeTimer = setTimeout(
        () => this.schedule(),
        Math.max(1, nextAt - now),
      );
      this.wakeTimer.unref();
    }
  }

  private answer(id: string, answer: Omit<PermitAnswer, 'validMs'>): void {
    const pendingRequest = this.pendingRequests.get(id);
    if (pendingRequest !== undefined) {
      this.pendingRequests.delete(id);
      clearTimeout(pendingRequest.timer);
      pendingRequest.resolve(answer);
    }
  }

  /** Returns the permit that a load holds; an agent that lost the answer receives it again. */
  private permitOf(id: string): string | undefined {
    const held = [...this.permits].find(([, load]) => load === id);
    return held !== undefined && this.queue.isHeld(id) ? held[0] : undefined;
  }

  private removeExpiredPermits(): void {
    for (const [permit, id] of this.permits) {
      if (!this.queue.isHeld(id)) {
        this.permits.delete(permit);
      }
    }
  }
}

/** ID of a load request; an agent has at most one request per model. */
function loadId(agent: string, model: string): string {
  return `${agent} ${model}`;
}

function toRequestedLoad(request: PermitRequest, now: number): RequestedLoad {
  const {agent, model, waiters, priority, oldestWaitMs} = request;
  return {
    id: loadId(agent, model),
    model,
    waiters,
    priority,
    askedAt: now - oldestWaitMs,
    deadline: now + (request.usefulMs ?? DEFAULT_USEFUL_MS),
  };
}
