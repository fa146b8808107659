import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {
  Pin,
  SlotReservation,
  SlotTable,
} from '@marigoldspur/adapter-slots';
import {ChangeSignal} from '@marigoldspur/change-signal';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, toFault} from '@marigoldspur/faults';
import type {EngineClient} from '@marigoldspur/target-client';
import type {LoadGate, LoadTicket} from './load-gate.js';

/** An adapter that a request needs. */
export interface AdapterNeed {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  readonly digest: string;
  readonly store: string;
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Latest time at which it is of use, a `performance.now()` time. */
  readonly deadlineMs: number;
  /** Aborted once the request no longer needs it. */
  readonly signal: AbortSignal;
}

/** What an adapter host works with. */
export interface AdapterHostOptions {
  readonly agent: string;
  readonly slots: SlotTable;
  readonly engine: EngineClient;
  readonly gate: LoadGate;
  readonly events: EventLog;
}

interface Load {
  readonly need: AdapterNeed;
  readonly askedAt: number;
  readonly waiters: Set<AdapterNeed>;
  readonly done: Promise<Result<unknown, Fault>>;
}

const SLOT_WAIT_MS = 1_000;

/** Brings adapters into the slots of one engine and pins them for requests. */
export class AdapterHost {
  private readonly loads = new Map<string, Load>();
  private readonly queue = new PQueue({concurrency: 1});
  private readonly released = new ChangeSignal();

  constructor(private readonly options: AdapterHostOptions) {}

  /** Requests that wait for a load. */
  get waiting(): number {
    return [...this.loads.values()].reduce(
      (sum, load) => sum + load.waiters.size,
      0,
    );
  }

  /** Pins an adapter, after a load shared with others who need it. */
  async acquire(need: AdapterNeed): Promise<Result<Pin, Fault>> {
    while (isWanted(need)) {
      const pin = this.options.slots.pin(need.model, performance.now());
      if (pin !== undefined) {
        return Result.ok(this.announceRelease(pin));
      }
      const loaded = await this.shareLoad(need);
      if (loaded.isErr) {
        return Result.err(loaded.error);
      }
    }
    return Result.err(
      new Fault('TIMEOUT', 'the adapter was not loaded in time'),
    );
  }

  private announceRelease(pin: Pin): Pin {
    return {
      model: pin.model,
      release: now => {
        pin.release(now);
        this.released.notify();
      },
    };
  }

  private async shareLoad(need: AdapterNeed): Promise<Result<unknown, Fault>> {
    const load = this.loads.get(need.model) ?? this.startLoad(need);
    load.waiters.add(need);
    const givenUp = aborted(need);
    const result = await Promise.race([load.done, givenUp.promise]);
    givenUp.stop();
    load.waiters.delete(need);
    return result;
  }

  private startLoad(need: AdapterNeed): Load {
    const waiters = new Set([need]);
    const askedAt = performance.now();
    const run = async () => {
      const result = await this.run(need, waiters, askedAt);
      this.loads.delete(need.model);
      return result;
    };
    const load = {need, askedAt, waiters, done: this.queue.add(run)};
    this.loads.set(need.model, load);
    return load;
  }

  private async run(
    need: AdapterNeed,
    waiters: ReadonlySet<AdapterNeed>,
    askedAt: number,
  ): Promise<Result<unknown, Fault>> {
    const reservation = await this.reserve(need.model, waiters);
    if (reservation === undefined) {
      return Result.err(
        new Fault('TIMEOUT', 'no adapter slot came free in time'),
      );
    }
    const ticket = await this.enterGate(need, waiters, askedAt);
    if (ticket.isErr) {
      this.giveUp(reservation);
      return Result.err(ticket.error);
    }
    try {
      return await this.loadInto(reservation, need);
    } catch (thrown) {
      return Result.err(toFault(thrown));
    } finally {
      const {slots} = this.options;
      ticket.value.release(slots.resident().includes(need.model));
    }
  }

  private async reserve(
    model: string,
    waiters: ReadonlySet<AdapterNeed>,
  ): Promise<SlotReservation | undefined> {
    while ([...waiters].some(isWanted)) {
      const reservation = this.options.slots.reserve(model, performance.now());
      if (reservation !== undefined) {
        return reservation;
      }
      await this.released.wait(SLOT_WAIT_MS);
    }
    return undefined;
  }

  private enterGate(
    need: AdapterNeed,
    waiters: ReadonlySet<AdapterNeed>,
    askedAt: number,
  ): Promise<Result<LoadTicket, Fault>> {
    const needs = [...waiters];
    return this.options.gate.enter(
      {
        store: need.store,
        agent: this.options.agent,
        model: need.model,
        waiters: needs.length,
        priority: Math.min(need.priority, ...needs.map(each => each.priority)),
        oldestWaitMs: performance.now() - askedAt,
      },
      Math.max(need.deadlineMs, ...needs.map(each => each.deadlineMs)),
    );
  }

  /** The adapter that had to leave was not unloaded, so the target still holds it. */
  private giveUp(reservation: SlotReservation): void {
    this.options.slots.drop(reservation.model);
    if (reservation.evict !== undefined) {
      this.options.slots.restore(reservation.evict, performance.now());
    }
    this.released.notify();
  }

  private async loadInto(
    reservation: SlotReservation,
    need: AdapterNeed,
  ): Promise<Result<unknown, Fault>> {
    const {engine, events, slots} = this.options;
    if (reservation.evict !== undefined) {
      const evicted = await engine.unload(reservation.evict);
      if (evicted.isErr) {
        slots.drop(need.model);
        return Result.err(evicted.error);
      }
      events.record('adapter-evicted', {model: reservation.evict});
    }
    const startedAt = performance.now();
    events.record('load-ordered', {model: need.model});
    const ordered = await engine.load(need.model, need.digest);
    const held = ordered.isOk ? await engine.resident() : undefined;
    if (held?.isOk && held.value.includes(need.model)) {
      slots.loaded(need.model, performance.now());
      const tookMs = Math.round(performance.now() - startedAt);
      events.record('load-finished', {model: need.model, tookMs});
      return Result.ok(undefined);
    }
    slots.drop(need.model);
    this.released.notify();
    const reason = ordered.isErr
      ? ordered.error.message
      : 'not held after load';
    events.record('load-failed', {model: need.model, reason});
    return Result.err(new Fault('LOAD_FAILED', reason));
  }
}

function isWanted(need: AdapterNeed): boolean {
  return !need.signal.aborted && performance.now() < need.deadlineMs;
}

/** Resolves to a fault when the need is given up or its deadline passes. */
function aborted(need: AdapterNeed) {
  let stop = () => {};
  const promise = new Promise<Result<unknown, Fault>>(resolve => {
    const end = () => {
      stop();
      resolve(
        Result.err(new Fault('TIMEOUT', 'the adapter was not loaded in time')),
      );
    };
    const timer = setTimeout(
      end,
      Math.max(0, need.deadlineMs - performance.now()),
    );
    stop = () => {
      clearTimeout(timer);
      need.signal.removeEventListener('abort', end);
    };
    need.signal.addEventListener('abort', end, {once: true});
  });
  return {promise, stop};
}
