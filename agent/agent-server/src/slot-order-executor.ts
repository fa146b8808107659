import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {SlotReservation, SlotTable} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {EngineClient} from '@marigoldspur/target-client';
import type {LeaseManager} from './lease-manager.js';
import type {ResidentAdapters} from './resident-adapters.js';
import type {TargetMonitor} from './target-monitor.js';

/** What slot orders work with. */
export interface SlotOrderExecutorOptions {
  readonly slots: SlotTable;
  readonly engine: EngineClient;
  readonly resident: ResidentAdapters;
  readonly watch: TargetMonitor;
  readonly keeper: LeaseManager;
  readonly events: EventLog;
  /** Longest time after a lost answer until the order counts as failed, in milliseconds. */
  readonly settleMs: number;
}

/** What became of an order whose answer was lost. */
type Settled = 'done' | 'not-done' | 'restarted';

const SETTLE_POLL_MS = 50;

/** Orders an engine to evict and load, and finds out what really came of it. */
export class SlotOrderExecutor {
  constructor(private readonly options: SlotOrderExecutorOptions) {}

  /**
   * Carries a reservation out. `CONFLICT` means that the adapter that was to leave is
   * in use or orders are held, so that the load may be tried again; the reservation
   * is settled either way.
   */
  async execute(
    reservation: SlotReservation,
    digest: string,
  ): Promise<Result<unknown, Fault>> {
    const {slots} = this.options;
    const {boot} = this.options.watch.state;
    const {evict} = reservation;
    if (evict !== undefined) {
      const evicted = await this.evict(evict, boot);
      if (evicted.isErr) {
        slots.cancel(reservation, true);
        return evicted;
      }
    }
    const loaded = await this.load(reservation.model, digest, boot);
    if (loaded.isErr) {
      slots.cancel(reservation, false);
      return this.afterFailure(loaded.error, evict);
    }
    return slots.completeLoad(reservation, performance.now())
      ? Result.ok(undefined)
      : Result.err(new Fault('CONFLICT', 'the target restarted meanwhile'));
  }

  private async evict(
    model: string,
    boot: string,
  ): Promise<Result<unknown, Fault>> {
    const {engine, events, keeper, watch} = this.options;
    const running = await engine.running();
    if (running.isErr) {
      return Result.err(new Fault('CONFLICT', running.error.message));
    }
    const users = running.value.items.filter(run => run.model === model);
    if (users.length > 0) {
      watch.adopt(users);
      return Result.err(new Fault('CONFLICT', `${model} is in use`));
    }
    if (!keeper.mayOrder(performance.now())) {
      return heldOrders();
    }
    const ordered = await engine.unload(model);
    if (ordered.isErr) {
      const settled = await this.settle(ordered.error, boot, listed =>
        listed.includes(model) ? 'not-done' : 'done',
      );
      if (settled !== 'done') {
        return Result.err(new Fault('CONFLICT', ordered.error.message));
      }
    }
    events.record('adapter-evicted', {model});
    return Result.ok(undefined);
  }

  private async load(
    model: string,
    digest: string,
    boot: string,
  ): Promise<Result<unknown, Fault>> {
    const {engine, events, keeper} = this.options;
    if (!keeper.mayOrder(performance.now())) {
      return heldOrders();
    }
    const startedAt = performance.now();
    events.record('load-ordered', {model});
    const ordered = await engine.load(model, digest);
    const held = (listed: readonly string[]) =>
      listed.includes(model) ? 'done' : 'not-done';
    const settled = ordered.isOk
      ? await this.confirmHeld(held, boot)
      : await this.settle(ordered.error, boot, held);
    if (settled === 'done') {
      const tookMs = Math.round(performance.now() - startedAt);
      events.record('load-finished', {model, tookMs});
      return Result.ok(undefined);
    }
    const reason = ordered.isErr
      ? ordered.error.message
      : 'not held after load';
    events.record('load-failed', {model, reason});
    if (settled === 'restarted') {
      return Result.err(new Fault('CONFLICT', 'the target restarted'));
    }
    return ordered.isErr
      ? ordered
      : Result.err(new Fault('LOAD_FAILED', reason));
  }

  /** Checks a confirmed load against what the engine lists. */
  private async confirmHeld(
    judge: (listed: readonly string[]) => Settled,
    boot: string,
  ): Promise<Settled> {
    const listing = await this.options.resident.read();
    if (listing.isErr) {
      return this.settle(listing.error, boot, judge);
    }
    if ((listing.value.boot ?? boot) !== boot) {
      await this.options.watch.check();
      return 'restarted';
    }
    return judge(listing.value.items);
  }

  /** Finds out what came of an order; an unclear one is asked about until it is clear. */
  private async settle(
    fault: Fault,
    boot: string,
    judge: (listed: readonly string[]) => Settled,
  ): Promise<Settled> {
    if (fault.code === 'FENCED') {
      this.options.keeper.lease.revoke();
    }
    if (fault.code !== 'UNAVAILABLE' && fault.code !== 'TORN_ANSWER') {
      return 'not-done';
    }
    const {engine, events, resident, settleMs, watch} = this.options;
    events.record('order-unclear', {reason: fault.message});
    const deadline = performance.now() + settleMs;
    let settled: Settled = 'not-done';
    while (performance.now() < deadline) {
      const health = await engine.health();
      const listing = await resident.read();
      if (health.isOk && health.value.boot !== boot) {
        await watch.check();
        return 'restarted';
      }
      if (health.isOk && listing.isOk) {
        settled = judge(listing.value.items);
        if (settled === 'done' || health.value.loading === 0) {
          return settled;
        }
      }
      await pause(SETTLE_POLL_MS);
    }
    return settled;
  }

  /** A refusal for want of room shows that the engine has fewer slots than it says. */
  private async afterFailure(
    fault: Fault,
    evicted?: string,
  ): Promise<Result<unknown, Fault>> {
    const {events, slots, watch} = this.options;
    await watch.reconcile();
    if (fault.code !== 'REFUSED' || evicted !== undefined || slots.free === 0) {
      return Result.err(fault);
    }
    slots.shrinkToUsed();
    events.record('slots-differ', {slots: slots.size});
    return Result.err(new Fault('CONFLICT', fault.message));
  }
}

function heldOrders(): Result<unknown, Fault> {
  return Result.err(new Fault('CONFLICT', 'no orders may be given now'));
}
