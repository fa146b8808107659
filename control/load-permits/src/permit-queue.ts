import {findLateLoads, OverloadDetector} from '@marigoldspur/lateness';
import type {LoadOrder, PendingLoad} from '@marigoldspur/load-order';

/** A load that an agent asks to run. */
export interface RequestedLoad extends PendingLoad {
  /** Identity of the question; asking again under it replaces the first. */
  readonly id: string;
  /** Latest time at which the end of the load is of use, in milliseconds. */
  readonly deadline: number;
}

/** How a permit was used. */
export type PermitOutcome = 'loaded' | 'failed' | 'unused';

/** Options of a permit queue. */
export interface PermitQueueOptions {
  /** The load order in force. */
  readonly order: () => LoadOrder;
  /** Loads that may run at once. */
  readonly loadsAtOnce: number;
  /** A permit that is not returned is free again after this, in milliseconds. */
  readonly validMs: number;
  /** Loads that may wait. */
  readonly queueLimit: number;
  /** Share of its time that a load may wait; 0 never refuses early. */
  readonly patience: () => number;
  /** The same while the store is overloaded. */
  readonly overloadPatience: () => number;
  /** How long the queue has to be too long until the store counts as overloaded, in milliseconds. */
  readonly overloadAfterMs: () => number;
  /** How long it has to be short until it no longer does, in milliseconds. */
  readonly overloadEndsAfterMs: number;
  /** Share of the store's time that prefetches leave free, from 0 up to, not including, 1. */
  readonly prefetchReserve: number;
}

interface HeldPermit {
  readonly load: RequestedLoad;
  readonly grantedAt: number;
}

interface Failure {
  readonly count: number;
  readonly retryAt: number;
}

const INITIAL_LOAD_MS = 300;
const LOAD_TIME_WEIGHT = 0.2;
const FIRST_BACK_OFF_MS = 500;
const MAX_BACK_OFF_MS = 30_000;
const MAX_FAILURES = 4_096;

/** Decides which load of one weight store runs next, and which are refused. */
export class PermitQueue {
  private readonly waiting = new Map<string, RequestedLoad>();
  private readonly held = new Map<string, HeldPermit>();
  private readonly failures = new Map<string, Failure>();
  private readonly overload: OverloadDetector;
  private loadMs = INITIAL_LOAD_MS;
  private prefetchFrom = -Infinity;

  constructor(private readonly options: PermitQueueOptions) {
    this.overload = new OverloadDetector({
      beginAfterMs: options.overloadAfterMs,
      endAfterMs: options.overloadEndsAfterMs,
    });
  }

  /** Loads that wait. */
  get size(): number {
    return this.waiting.size;
  }

  /** How long one load takes at present, in milliseconds. */
  get expectedLoadMs(): number {
    return this.loadMs;
  }

  /** Takes a question in, or brings its waiters up to date. */
  enqueue(load: RequestedLoad): void {
    this.waiting.set(load.id, load);
  }

  /** Takes a question back. */
  withdraw(id: string): void {
    this.waiting.delete(id);
  }

  /** Removes and returns the loads that can't be in time, or have no room in the queue. */
  dropLate(now: number): RequestedLoad[] {
    const ordered = this.options.order().sort([...this.waiting.values()], now);
    const surplus = ordered.slice(this.options.queueLimit);
    const demanded = ordered
      .slice(0, this.options.queueLimit)
      .filter(load => load.waiters > 0);
    this.noteLength(demanded, now);
    const late = [...surplus, ...this.lateAmong(demanded, now)];
    late.forEach(load => this.waiting.delete(load.id));
    return late;
  }

  /** How long until a load that is asked for now would begin, in milliseconds. */
  predictedWaitMs(now: number): number {
    const demanded = [...this.waiting.values()].filter(
      load => load.waiters > 0,
    );
    return this.freeAt(now) - now + demanded.length * this.loadMs;
  }

  /** The next load to run, with its permit held from `now` on; undefined where none may run. */
  grantNext(now: number): RequestedLoad | undefined {
    this.expire(now);
    if (this.held.size >= this.options.loadsAtOnce) {
      return undefined;
    }
    const load = this.options.order().next(this.eligible(now), now);
    if (load === undefined) {
      return undefined;
    }
    this.waiting.delete(load.id);
    this.held.set(load.id, {load, grantedAt: now});
    if (load.waiters === 0) {
      this.prefetchFrom =
        now + this.loadMs / (1 - this.options.prefetchReserve);
    }
    return load;
  }

  /** Whether a permit is held for a load. */
  isHeld(id: string): boolean {
    return this.held.has(id);
  }

  /** How long a permit has been held for a load, in milliseconds; 0 where none is. */
  heldForMs(id: string, now: number): number {
    return now - (this.held.get(id)?.grantedAt ?? now);
  }

  /** Returns the permit of a load. */
  release(id: string, use: PermitOutcome, now: number): void {
    const held = this.held.get(id);
    this.held.delete(id);
    if (held === undefined || use === 'unused') {
      return;
    }
    const {model} = held.load;
    if (use === 'failed') {
      this.noteFailure(model, now);
      return;
    }
    this.failures.delete(model);
    this.loadMs += LOAD_TIME_WEIGHT * (now - held.grantedAt - this.loadMs);
  }

  /** When a load that is held back may run, or a permit expires; undefined where nothing is due. */
  nextEventAt(now: number): number | undefined {
    if (this.waiting.size === 0) {
      return undefined;
    }
    const expiries = [...this.held.values()].map(
      held => held.grantedAt + this.options.validMs,
    );
    const times = [...this.waiting.values()].map(load =>
      Math.max(
        this.failures.get(load.model)?.retryAt ?? now,
        load.waiters === 0 ? this.prefetchFrom : now,
      ),
    );
    const later = [...times, ...expiries].filter(time => time > now);
    return later.length === 0 ? undefined : Math.min(...later);
  }

  private eligible(now: number): RequestedLoad[] {
    const ready = [...this.waiting.values()].filter(
      load => (this.failures.get(load.model)?.retryAt ?? now) <= now,
    );
    const demanded = ready.filter(load => load.waiters > 0);
    if (demanded.length > 0) {
      return demanded;
    }
    return this.held.size === 0 && now >= this.prefetchFrom ? ready : [];
  }

  private lateAmong(demanded: readonly RequestedLoad[], now: number) {
    const {overloadPatience} = this.options;
    const patience = this.overload.isOverloaded
      ? overloadPatience()
      : this.options.patience();
    return patience === 0
      ? demanded.filter(load => load.deadline <= now)
      : findLateLoads(demanded, {
          storeFreeAt: this.freeAt(now),
          loadMs: this.loadMs / this.options.loadsAtOnce,
          patience,
        });
  }

  /** The queue is too long where not all of it could end within the patience of overload. */
  private noteLength(demanded: readonly RequestedLoad[], now: number): void {
    const {overloadPatience, loadsAtOnce} = this.options;
    const late = findLateLoads(demanded, {
      storeFreeAt: this.freeAt(now),
      loadMs: this.loadMs / loadsAtOnce,
      patience: overloadPatience(),
    });
    this.overload.update(late.length > 0, now);
  }

  private freeAt(now: number): number {
    if (this.held.size < this.options.loadsAtOnce) {
      return now;
    }
    const ends = [...this.held.values()].map(
      held => held.grantedAt + this.loadMs,
    );
    return Math.max(now, Math.min(...ends));
  }

  private noteFailure(model: string, now: number): void {
    const count = (this.failures.get(model)?.count ?? 0) + 1;
    const backOffMs = Math.min(
      MAX_BACK_OFF_MS,
      FIRST_BACK_OFF_MS * 2 ** (count - 1),
    );
    this.failures.delete(model);
    this.failures.set(model, {count, retryAt: now + backOffMs});
    if (this.failures.size > MAX_FAILURES) {
      const [oldest] = this.failures.keys();
      this.failures.delete(oldest);
    }
  }

  private expire(now: number): void {
    for (const [id, held] of this.held) {
      if (now - held.grantedAt >= this.options.validMs) {
        this.held.delete(id);
      }
    }
  }
}
