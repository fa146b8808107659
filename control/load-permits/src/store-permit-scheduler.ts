import {randomUUID} from 'node:crypto';
import type {PermitAnswer, PermitRequest} from '@marigoldspur/messages';
import {
  PermitQueue,
  type PermitQueueOptions,
  type PermitOutcome,
  type RequestedLoad,
} from './permit-queue.js';

interface Question {
  readonly answer: (permit: Omit<PermitAnswer, 'validMs'>) => void;
  readonly timer: NodeJS.Timeout;
}

const USEFUL_MS = 30_000;
/** A report may have been made before the permit it does not name was granted. */
const REPORT_DELAY_MS = 1_000;

/** Hands out the permits of one weight store: the queue with its timers. */
export class StorePermitScheduler {
  private readonly queue: PermitQueue;
  private readonly questions = new Map<string, Question>();
  /** Identity of the load of each permit. */
  private readonly permits = new Map<string, string>();
  private wake: NodeJS.Timeout | undefined;

  constructor(private readonly options: PermitQueueOptions) {
    this.queue = new PermitQueue(options);
  }

  /** Waits up to the request's `waitMs` for a permit or a refusal. */
  acquire(request: PermitRequest): Promise<PermitAnswer> {
    const load = wantedLoad(request, performance.now());
    const {validMs} = this.options;
    const held = this.permitOf(load.id);
    if (held !== undefined) {
      return Promise.resolve({permit: held, validMs});
    }
    this.answer(load.id, {});
    return new Promise(resolve => {
      this.questions.set(load.id, {
        answer: permit => resolve({...permit, validMs}),
        timer: setTimeout(() => this.giveUp(load.id), request.waitMs),
      });
      this.queue.enqueue(load);
      this.pump();
    });
  }

  /** Returns a permit; false where it is not one of this store. */
  release(permit: string, use: PermitOutcome): boolean {
    const id = this.permits.get(permit);
    if (id === undefined) {
      return false;
    }
    this.permits.delete(permit);
    this.queue.release(id, use, performance.now());
    this.pump();
    return true;
  }

  /** Takes back the permits of an agent for what it neither loads nor waits for any more. */
  reconcile(agent: string, loading: readonly string[], now: number): void {
    const kept = new Set(loading.map(model => loadId(agent, model)));
    for (const [permit, id] of this.permits) {
      const isStale = id.startsWith(loadId(agent, '')) && !kept.has(id);
      if (isStale && this.queue.heldForMs(id, now) >= REPORT_DELAY_MS) {
        this.release(permit, 'unused');
      }
    }
  }

  private giveUp(id: string): void {
    this.queue.withdraw(id);
    this.answer(id, {
      predictedWaitMs: this.queue.predictedWaitMs(performance.now()),
    });
  }

  private pump(): void {
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
    this.forgetExpired();
    this.sleep(now);
  }

  /** Pumps again when the queue has something to do by itself. */
  private sleep(now: number): void {
    clearTimeout(this.wake);
    const nextAt = this.queue.nextEventAt(now);
    if (nextAt !== undefined) {
      this.wake = setTimeout(() => this.pump(), Math.max(1, nextAt - now));
      this.wake.unref();
    }
  }

  private answer(id: string, permit: Omit<PermitAnswer, 'validMs'>): void {
    const question = this.questions.get(id);
    if (question !== undefined) {
      this.questions.delete(id);
      clearTimeout(question.timer);
      question.answer(permit);
    }
  }

  /** The permit that is held for a load; an agent that lost the answer gets it again. */
  private permitOf(id: string): string | undefined {
    const held = [...this.permits].find(([, load]) => load === id);
    return held !== undefined && this.queue.isHeld(id) ? held[0] : undefined;
  }

  private forgetExpired(): void {
    for (const [permit, id] of this.permits) {
      if (!this.queue.isHeld(id)) {
        this.permits.delete(permit);
      }
    }
  }
}

/** Identity of the question for a load: an agent asks once for each model. */
function loadId(agent: string, model: string): string {
  return `${agent} ${model}`;
}

function wantedLoad(request: PermitRequest, now: number): RequestedLoad {
  const {agent, model, waiters, priority, oldestWaitMs} = request;
  return {
    id: loadId(agent, model),
    model,
    waiters,
    priority,
    askedAt: now - oldestWaitMs,
    deadline: now + (request.usefulMs ?? USEFUL_MS),
  };
}
