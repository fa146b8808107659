import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {SlotReservation, SlotTable} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {EngineClient} from '@marigoldspur/engine-client';
import type {LeaseManager} from './lease-manager.js';
import type {ResidentAdapters} from './resident-adapters.js';
import type {TargetMonitor} from './target-monitor.js';

/** Options of a slot order executor. */
export interface SlotOrderExecutorOptions {
  readonly slots: SlotTable;
  readonly engine: EngineClient;
  readonly resident: ResidentAdapters;
  readonly monitor: TargetMonitor;
  readonly leaseManager: LeaseManager;
  readonly events: EventLog;
  /**
   * Time after a lost response until the order counts as failed, in milliseconds.
   */
  readonly resolveTimeoutMs: number;
}

/** Result of an order, as determined from the state of the engine. */
type OrderResult = 'done' | 'not-done' | 'restarted';

const RESOLVE_POLL_MS = 50;

/**
 * Sends eviction and load orders to an engine and determines their actual
 * results.
 */
export class SlotOrderExecutor {
  constructor(private readonly options: SlotOrderExecutorOptions) {}

  /**
   * Executes the orders for a reservation. `CONFLICT` means that the adapter to
   * evict is in use or that orders are currently not allowed, so the load may
   * be retried. The reservation is completed or cancelled in every case.
   */
  async execute(
    reservation: SlotReservation,
    digest: string,
  ): Promise<Result<unknown, Fault>> {
    const {slots} = this.options;
    const {boot} = this.options.monitor.state;
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
      return this.handleLoadFailure(loaded.error, evict);
    }
    return slots.completeLoad(reservation, performance.now())
      ? Result.ok(undefined)
      : Result.err(
          new Fault('CONFLICT', 'the target restarted during the load'),
        );
  }

  private async evict(
    model: string,
    boot: string,
  ): Promise<Result<unknown, Fault>> {
    const {engine, events, leaseManager, monitor} = this.options;
    const running = await engine.listRequests();
    if (running.isErr) {
      return Result.err(new Fault('CONFLICT', running.error.message));
    }
    const activeRequests = running.value.items.filter(
      run => run.model === model,
    );
    if (activeRequests.length > 0) {
      monitor.pinRequests(activeRequests);
      return Result.err(new Fault('CONFLICT', `adapter ${model} is in use`));
    }
    if (!leaseManager.mayOrder(performance.now())) {
      return ordersSuspended();
    }
    const ordered = await engine.unload(model);
    if (ordered.isErr) {
      const result = await this.resolveResult(ordered.error, boot, listed =>
        listed.includes(model) ? 'not-done' : 'done',
      );
      if (result !== 'done') {
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
    const {engine, events, leaseManager} = this.options;
    if (!leaseManager.mayOrder(performance.now())) {
      return ordersSuspended();
    }
    const startedAt = performance.now();
    events.record('load-ordered', {model});
    const ordered = await engine.load(model, digest);
    const classify = (listed: readonly string[]) =>
      listed.includes(model) ? 'done' : 'not-done';
    const result = ordered.isOk
      ? await this.verifyLoad(classify, boot)
      : await this.resolveResult(ordered.error, boot, classify);
    if (result === 'done') {
      const tookMs = Math.round(performance.now() - startedAt);
      events.record('load-finished', {model, tookMs});
      return Result.ok(undefined);
    }
    const reason = ordered.isErr
      ? ordered.error.message
      : 'the adapter is not resident after the load';
    events.record('load-failed', {model, reason});
    if (result === 'restarted') {
      return Result.err(new Fault('CONFLICT', 'the target restarted'));
    }
    return ordered.isErr
      ? ordered
      : Result.err(new Fault('LOAD_FAILED', reason));
  }

  /** Verifies a confirmed load against the adapters that the engine lists. */
  private async verifyLoad(
    classify: (listed: readonly string[]) => OrderResult,
    boot: string,
  ): Promise<OrderResult> {
    const listing = await this.options.resident.read();
    if (listing.isErr) {
      return this.resolveResult(listing.error, boot, classify);
    }
    if ((listing.value.boot ?? boot) !== boot) {
      await this.options.monitor.check();
      return 'restarted';
    }
    return classify(listing.value.items);
  }

  /**
   * Determines the result of a failed order. If it is unknown, polls the engine
   * until it is known or the timeout expires.
   */
  private async resolveResult(
    fault: Fault,
    boot: string,
    classify: (listed: readonly string[]) => OrderResult,
  ): Promise<OrderResult> {
    if (fault.code === 'FENCED') {
      this.options.leaseManager.lease.revoke();
    }
    if (fault.code !== 'UNAVAILABLE' && fault.code !== 'TORN_ANSWER') {
      return 'not-done';
    }
    const {engine, events, resident, resolveTimeoutMs, monitor} = this.options;
    events.record('order-unclear', {reason: fault.message});
    const deadline = performance.now() + resolveTimeoutMs;
    let result: OrderResult = 'not-done';
    while (performance.now() < deadline) {
      const health = await engine.readHealth();
      const listing = await resident.read();
      if (health.isOk && health.value.boot !== boot) {
        await monitor.check();
        return 'restarted';
      }
      if (health.isOk && listing.isOk) {
        result = classify(listing.value.items);
        if (result === 'done' || health.value.loading === 0) {
          return result;
        }
      }
      await pause(RESOLVE_POLL_MS);
    }
    return result;
  }

  /**
   * Handles a failed load. A refusal although a slot is free shows that the
   * engine has fewer slots than it reports.
   */
  private async handleLoadFailure(
    fault: Fault,
    evicted?: string,
  ): Promise<Result<unknown, Fault>> {
    const {events, slots, monitor} = this.options;
    await monitor.reconcile();
    if (fault.code !== 'REFUSED' || evicted !== undefined || slots.free === 0) {
      return Result.err(fault);
    }
    slots.shrinkToUsed();
    events.record('slots-differ', {slots: slots.size});
    return Result.err(new Fault('CONFLICT', fault.message));
  }
}

function ordersSuspended(): Result<unknown, Fault> {
  return Result.err(new Fault('CONFLICT', 'orders are currently not allowed'));
}
