import {ChangeSignal} from '@marigoldspur/change-signal';
import {
  adapterName,
  type EngineView,
  type PrepareAnswer,
  type PrepareRequest,
  type AdapterUsage,
} from '@marigoldspur/deployment';
import {createEvictionPolicy} from '@marigoldspur/eviction';
import type {EventLog} from '@marigoldspur/event-log';
import {isLoaded, planOrder, type PlannedOrder} from './adapter-plan.js';
import {AcceptedOrders} from './accepted-orders.js';
import {AdapterUseTracker} from './adapter-use-tracker.js';
import {EngineMemory} from './engine-memory.js';
import {
  unusedModels,
  type PlanInput,
  type RequestedAdapter,
} from './plan-input.js';
import {planRoom} from './room-plan.js';
import type {
  AdapterOrder,
  EngineState,
  ManagedEngine,
  OrderOutcome,
} from './managed-engine.js';

/** Options of an adapter manager. */
export interface AdapterManagerOptions {
  readonly engine: ManagedEngine;
  readonly events: EventLog;
  /**
   * Returns the fencing number for orders; undefined until control has granted
   * one.
   */
  readonly fence: () => number | undefined;
  /**
   * Requests a higher fencing number from control, because the engine has seen
   * a higher one.
   */
  readonly renewFence: () => void;
  /** Called with each state that was read. */
  readonly onView: (view: EngineView) => void;
}

interface PendingAdapter extends RequestedAdapter {
  readonly waiters: Set<(answer: PrepareAnswer) => void>;
}

/** Poll interval while no adapters are requested. */
const IDLE_POLL_MS = 250;
/** Poll interval while calls are waiting for adapters. */
const BUSY_POLL_MS = 25;
/**
 * Half-life of the recorded uses, because demand moves to other adapters within
 * seconds.
 */
const USE_HALF_LIFE_MS = 20_000;

/**
 * Keeps the requested adapters loaded in the slots of one engine. It is the
 * only sender of orders to the engine.
 */
export class AdapterManager {
  private readonly changed = new ChangeSignal();
  private readonly requested = new Map<string, PendingAdapter>();
  private readonly acceptedOrders = new AcceptedOrders();
  private readonly uses = new AdapterUseTracker();
  private readonly eviction = createEvictionPolicy('expected-rate', {
    halfLifeMs: USE_HALF_LIFE_MS,
  });
  private state: EngineState | undefined;
  private target: string | undefined;
  private slots = 0;
  private memory: EngineMemory | undefined;
  /**
   * An order with unknown outcome that may still be executed. It is repeated
   * until its outcome is known.
   */
  private uncertainOrder: AdapterOrder | undefined;
  private isStopped = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: AdapterManagerOptions) {}

  /** Starts reading the engine's state and sending orders. */
  start(): void {
    this.loop = this.run();
  }

  /** Stops sending orders and closes the connections to the engine. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.changed.notify();
    await this.loop;
    this.options.engine.close();
  }

  /**
   * Resolves once the adapter is loaded, or with the reason why it cannot be
   * loaded. `signal` cancels the request.
   */
  prepare(
    request: PrepareRequest,
    signal: AbortSignal,
    now: number,
  ): Promise<PrepareAnswer> {
    const name = adapterName(request.model, request.adapter);
    this.slots = request.slots;
    this.target = request.target;
    if (request.memory !== undefined) {
      this.memory ??= new EngineMemory();
      this.memory.update(request.memory, this.neededModels());
    }
    this.uses.expectUse(name, now);
    return new Promise(resolve => {
      const existing = this.requested.get(name);
      const pending: PendingAdapter = {
        model: request.model,
        adapter: request.adapter,
        name,
        version: Math.max(request.version ?? 0, existing?.version ?? 0),
        since: existing?.since ?? now,
        waiters: existing?.waiters ?? new Set(),
      };
      this.requested.set(name, pending);
      pending.waiters.add(resolve);
      signal.addEventListener('abort', () => {
        pending.waiters.delete(resolve);
        resolve({ready: false, reason: 'the caller gave up'});
        if (
          pending.waiters.size === 0 &&
          this.requested.get(name) === pending
        ) {
          this.requested.delete(name);
        }
      });
      this.changed.notify();
    });
  }

  /** Records the adapter usage that an entry reports. */
  recordUsage(usage: AdapterUsage, now: number): void {
    this.uses.update(usage, now);
    for (const [name, count] of usage.begun) {
      for (let use = 0; use < count; use += 1) {
        this.eviction.recordUse(name, now);
      }
    }
    if (this.requested.size > 0) {
      this.changed.notify();
    }
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      await this.poll();
      const isBusy =
        this.requested.size > 0 || this.uncertainOrder !== undefined;
      await this.changed.wait(isBusy ? BUSY_POLL_MS : IDLE_POLL_MS);
    }
  }

  /**
   * Reads the engine's state and sends orders until there are none left to
   * send.
   */
  private async poll(): Promise<void> {
    for (let mayHaveMore = true; mayHaveMore && !this.isStopped;) {
      const read = await this.options.engine.read();
      const now = performance.now();
      if (read.isErr) {
        this.handleLostEngine(read.error.message);
        return;
      }
      this.applyState(read.value, now);
      this.refuseUnplaceable(read.value, now);
      mayHaveMore = await this.sendNextOrder(read.value, now);
    }
  }

  private handleLostEngine(reason: string): void {
    if (this.state !== undefined) {
      this.options.events.record('engine-lost', {reason});
      const view = this.createView(this.state, performance.now());
      this.options.onView({...view, answers: false});
    }
    this.state = undefined;
    this.clearOrders();
    this.answerAllWaiters({ready: false, reason: 'the engine does not answer'});
  }

  private applyState(state: EngineState, now: number): void {
    const previous = this.state;
    if (previous === undefined || hasRestarted(previous, state)) {
      const {bornAt, sequence} = state;
      const held = [...state.models, ...state.adapters.keys()].join(' ');
      this.options.events.record('engine-found', {bornAt, sequence, held});
      this.clearOrders();
      this.uses.startObserving(now);
    }
    this.state = state;
    this.acceptedOrders.removeSettled(state, now);
    for (const pending of [...this.requested.values()]) {
      if (isLoaded(state, pending)) {
        this.options.events.record('adapter-ready', {
          adapter: pending.name,
          waitedMs: Math.round(now - pending.since),
        });
        this.uses.expectUse(pending.name, now);
        this.answerWaiters(pending, {ready: true});
      }
    }
    this.options.onView(this.createView(state, now));
  }

  /** Names of the models that calls wait for or that the engine holds or loads. */
  private neededModels(): ReadonlySet<string> {
    return new Set([
      ...[...this.requested.values()].map(({model}) => model),
      ...(this.state?.models ?? []),
      ...this.acceptedOrders.loadingModels,
    ]);
  }

  /** Answers the calls for which the engine has no memory while others use its models. */
  private refuseUnplaceable(state: EngineState, now: number): void {
    for (const pending of [...this.requested.values()]) {
      if (planRoom(this.planInput(state), pending, now).kind === 'none') {
        const reason = `the engine has no memory for model "${pending.model}" beside what calls use`;
        this.answerWaiters(pending, {ready: false, reason});
      }
    }
  }

  /**
   * Sends the next order; returns false if there is none or the engine is not
   * ready for another one.
   */
  private async sendNextOrder(
    state: EngineState,
    now: number,
  ): Promise<boolean> {
    const fence = this.options.fence();
    if (fence === undefined) {
      return false;
    }
    const repeated =
      this.uncertainOrder?.sequence === state.sequence
        ? this.uncertainOrder
        : undefined;
    this.uncertainOrder = undefined;
    const order = repeated ?? this.planNextOrder(state, fence, now);
    if (order === undefined) {
      return false;
    }
    const name = adapterName(order.model, order.adapter);
    const result = await this.options.engine.sendOrder(order);
    const {sequence} = order;
    const details = {order: order.kind, adapter: name, fence, sequence};
    if (result.isErr) {
      this.uncertainOrder = order;
      const reason = result.error.message;
      this.options.events.record('order-failed', {...details, reason});
      return false;
    }
    return this.handleOutcome(order, result.value, details);
  }

  private planNextOrder(
    state: EngineState,
    fence: number,
    now: number,
  ): AdapterOrder | undefined {
    const planned = planOrder(this.planInput(state), this.eviction, now);
    if (planned === undefined) {
      return undefined;
    }
    const {sequence} = state;
    const {target} = this;
    return {...toOrderFields(planned), sequence, fence, target};
  }

  private planInput(state: EngineState): PlanInput {
    const {acceptedOrders, memory, slots, uses} = this;
    return {
      state,
      slots,
      accepted: acceptedOrders.loading,
      leaving: acceptedOrders.leaving,
      loadingModels: acceptedOrders.loadingModels,
      leavingModels: acceptedOrders.leavingModels,
      memory,
      requested: [...this.requested.values()],
      uses,
    };
  }

  private handleOutcome(
    order: AdapterOrder,
    outcome: OrderOutcome,
    details: {
      readonly order: string;
      readonly adapter: string;
      readonly fence: number;
      readonly sequence: number;
    },
  ): boolean {
    const {events, renewFence} = this.options;
    const name = details.adapter;
    if (outcome === 'accepted' || outcome === 'holds') {
      events.record('order-given', {...details, outcome});
      const isAccepted = outcome === 'accepted';
      this.acceptedOrders.record(
        order,
        isAccepted,
        this.state,
        performance.now(),
      );
      return order.adapter !== undefined;
    }
    events.record('order-failed', {...details, reason: outcome});
    if (outcome === 'fenced') {
      renewFence();
    } else if (outcome !== 'conflict') {
      const pending = this.requested.get(name);
      if (pending !== undefined) {
        this.answerWaiters(pending, {ready: false, reason: outcome});
      }
    }
    return false;
  }

  /**
   * Creates the state that is sent to entries. It omits adapters that are being
   * unloaded, because they accept no more calls.
   */
  private createView(state: EngineState, now: number): EngineView {
    const {bornAt, leaving, memoryUsed, models, running, waiting} = state;
    const loading = new Set([...state.loading, ...this.acceptedOrders.loading]);
    const used = [...state.adapters.keys()].filter(
      name => !loading.has(name) && this.uses.isUsed(name, now),
    );
    return {
      bornAt,
      answers: true,
      leaving,
      models: [...models].filter(
        model => !this.acceptedOrders.leavingModels.has(model),
      ),
      unusedModels: unusedModels(this.planInput(state), now),
      adapters: [...state.adapters].filter(
        ([name]) => !this.acceptedOrders.leaving.has(name),
      ),
      loading: [...loading],
      awaited: [...this.requested.keys()].filter(name => !loading.has(name)),
      takenSlots: loading.size + used.length,
      waiting,
      running,
      memoryUsed,
    };
  }

  private answerWaiters(pending: PendingAdapter, answer: PrepareAnswer): void {
    this.requested.delete(pending.name);
    pending.waiters.forEach(resolve => resolve(answer));
  }

  private answerAllWaiters(answer: PrepareAnswer): void {
    [...this.requested.values()].forEach(pending =>
      this.answerWaiters(pending, answer),
    );
  }

  private clearOrders(): void {
    this.acceptedOrders.clear();
    this.uncertainOrder = undefined;
  }
}

/** Whether an engine restarted between two reads of its state. */
function hasRestarted(previous: EngineState, next: EngineState): boolean {
  return next.bornAt !== previous.bornAt || next.sequence < previous.sequence;
}

function toOrderFields(
  planned: PlannedOrder,
): Pick<AdapterOrder, 'kind' | 'model' | 'adapter' | 'version'> {
  if (planned.kind === 'load-model') {
    return {kind: 'load', model: planned.model};
  }
  if (planned.kind === 'unload-model') {
    return {kind: 'unload', model: planned.model};
  }
  if (planned.kind === 'load') {
    const {model, adapter, version} = planned.requested;
    return {kind: 'load', model, adapter, version: version || undefined};
  }
  const [model, adapter] = planned.name.split('/');
  return {kind: 'unload', model, adapter};
}
