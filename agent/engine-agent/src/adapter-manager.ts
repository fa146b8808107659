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
import {
  isHeld,
  planOrder,
  type PlannedOrder,
  type RequestedAdapter,
} from './adapter-plan.js';
import {AcceptedOrders} from './accepted-orders.js';
import {AdapterUseTracker} from './adapter-use-tracker.js';
import type {
  AdapterOrder,
  EngineState,
  ManagedEngine,
  OrderOutcome,
} from './managed-engine.js';

/** What an adapter keeper works with. */
export interface AdapterManagerOptions {
  readonly engine: ManagedEngine;
  readonly events: EventLog;
  /** The fencing number of orders; undefined until control has given one. */
  readonly fence: () => number | undefined;
  /** Asks control for a higher number, since the engine has seen one. */
  readonly renewFence: () => void;
  /** Takes each state that was read. */
  readonly onView: (view: EngineView) => void;
}

interface Wanted extends RequestedAdapter {
  readonly waiters: Set<(answer: PrepareAnswer) => void>;
}

/** Time between two looks at an engine that has nothing to do, in milliseconds. */
const IDLE_POLL_MS = 250;
/** Time between two looks while adapters are waited for, in milliseconds. */
const BUSY_POLL_MS = 25;
/** Uses count half after this time: demand moves to other adapters within seconds, in milliseconds. */
const USE_HALF_LIFE_MS = 20_000;

/** Holds the wanted adapters in the slots of one engine. It alone gives the engine orders. */
export class AdapterManager {
  private readonly wake = new ChangeSignal();
  private readonly wanted = new Map<string, Wanted>();
  private readonly given = new AcceptedOrders();
  private readonly uses = new AdapterUseTracker();
  private readonly eviction = createEvictionPolicy('expected-rate', {
    halfLifeMs: USE_HALF_LIFE_MS,
  });
  private state: EngineState | undefined;
  private target: string | undefined;
  private slots = 0;
  /** An order that may still be carried out; it is repeated until it can't. */
  private unclear: AdapterOrder | undefined;
  private stopped = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: AdapterManagerOptions) {}

  start(): void {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.wake.notify();
    await this.loop;
    this.options.engine.close();
  }

  /** Resolves once the engine holds the adapter, or with why it never will; `signal` ends the wait. */
  prepare(
    request: PrepareRequest,
    signal: AbortSignal,
    now: number,
  ): Promise<PrepareAnswer> {
    const name = adapterName(request.model, request.adapter);
    this.slots = request.slots;
    this.target = request.target;
    this.uses.expectUse(name, now);
    return new Promise(resolve => {
      const known = this.wanted.get(name);
      const wanted: Wanted = {
        model: request.model,
        adapter: request.adapter,
        name,
        version: Math.max(request.version ?? 0, known?.version ?? 0),
        since: known?.since ?? now,
        waiters: known?.waiters ?? new Set(),
      };
      this.wanted.set(name, wanted);
      wanted.waiters.add(resolve);
      signal.addEventListener('abort', () => {
        wanted.waiters.delete(resolve);
        resolve({ready: false, reason: 'the caller gave up'});
        if (wanted.waiters.size === 0 && this.wanted.get(name) === wanted) {
          this.wanted.delete(name);
        }
      });
      this.wake.notify();
    });
  }

  /** Takes what an entry tells of the use of adapters. */
  recordUses(uses: AdapterUsage, now: number): void {
    this.uses.update(uses, now);
    for (const [name, count] of uses.begun) {
      for (let use = 0; use < count; use += 1) {
        this.eviction.recordUse(name, now);
      }
    }
    if (this.wanted.size > 0) {
      this.wake.notify();
    }
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.look();
      const busy = this.wanted.size > 0 || this.unclear !== undefined;
      await this.wake.wait(busy ? BUSY_POLL_MS : IDLE_POLL_MS);
    }
  }

  /** Reads the engine's state and gives orders while there are any to give. */
  private async look(): Promise<void> {
    for (let more = true; more && !this.stopped;) {
      const read = await this.options.engine.read();
      const now = performance.now();
      if (read.isErr) {
        this.lose(read.error.message);
        return;
      }
      this.take(read.value, now);
      more = await this.giveOrder(read.value, now);
    }
  }

  private lose(reason: string): void {
    if (this.state !== undefined) {
      this.options.events.record('engine-lost', {reason});
      const view = this.viewOf(this.state, performance.now());
      this.options.onView({...view, answers: false});
    }
    this.state = undefined;
    this.forgetOrders();
    this.answerAll({ready: false, reason: 'the engine does not answer'});
  }

  private take(state: EngineState, now: number): void {
    const before = this.state;
    if (before === undefined || hasRestarted(before, state)) {
      const {bornAt, sequence} = state;
      const held = [...state.models, ...state.adapters.keys()].join(' ');
      this.options.events.record('engine-found', {bornAt, sequence, held});
      this.forgetOrders();
    }
    this.state = state;
    this.given.removeSettled(state, now);
    for (const wanted of [...this.wanted.values()]) {
      if (isHeld(state, wanted)) {
        this.options.events.record('adapter-ready', {
          adapter: wanted.name,
          waitedMs: Math.round(now - wanted.since),
        });
        this.uses.expectUse(wanted.name, now);
        this.answer(wanted, {ready: true});
      }
    }
    this.options.onView(this.viewOf(state, now));
  }

  /** Gives the next order; false where there is none, or the engine has to be waited for. */
  private async giveOrder(state: EngineState, now: number): Promise<boolean> {
    const fence = this.options.fence();
    if (fence === undefined) {
      return false;
    }
    const repeated =
      this.unclear?.sequence === state.sequence ? this.unclear : undefined;
    this.unclear = undefined;
    const order = repeated ?? this.nextOrder(state, fence, now);
    if (order === undefined) {
      return false;
    }
    const name = adapterName(order.model, order.adapter);
    const given = await this.options.engine.order(order);
    const {sequence} = order;
    const details = {order: order.kind, adapter: name, fence, sequence};
    if (given.isErr) {
      this.unclear = order;
      const reason = given.error.message;
      this.options.events.record('order-failed', {...details, reason});
      return false;
    }
    return this.taken(order, given.value, details);
  }

  private nextOrder(
    state: EngineState,
    fence: number,
    now: number,
  ): AdapterOrder | undefined {
    const planned = planOrder(
      {
        state,
        slots: this.slots,
        ordered: this.given.loading,
        leaving: this.given.leaving,
        wanted: [...this.wanted.values()],
        uses: this.uses,
      },
      this.eviction,
      now,
    );
    if (planned === undefined) {
      return undefined;
    }
    const {sequence} = state;
    const {target} = this;
    return {...orderedAdapter(planned), sequence, fence, target};
  }

  private taken(
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
      const accepted = outcome === 'accepted';
      this.given.record(order, accepted, this.state, performance.now());
      return order.adapter !== undefined;
    }
    events.record('order-failed', {...details, reason: outcome});
    if (outcome === 'fenced') {
      renewFence();
    } else if (outcome !== 'conflict') {
      const wanted = this.wanted.get(name);
      if (wanted !== undefined) {
        this.answer(wanted, {ready: false, reason: outcome});
      }
    }
    return false;
  }

  /** What entries are told; an adapter that is to leave takes no calls any more. */
  private viewOf(state: EngineState, now: number): EngineView {
    const {bornAt, memoryUsed, models, running, waiting} = state;
    const loading = new Set([...state.loading, ...this.given.loading]);
    const used = [...state.adapters.keys()].filter(
      name => !loading.has(name) && this.uses.isUsed(name, now),
    );
    return {
      bornAt,
      answers: true,
      models: [...models],
      adapters: [...state.adapters].filter(
        ([name]) => !this.given.leaving.has(name),
      ),
      loading: [...loading],
      awaited: [...this.wanted.keys()].filter(name => !loading.has(name)),
      takenSlots: loading.size + used.length,
      waiting,
      running,
      memoryUsed,
    };
  }

  private answer(wanted: Wanted, answer: PrepareAnswer): void {
    this.wanted.delete(wanted.name);
    wanted.waiters.forEach(resolve => resolve(answer));
  }

  private answerAll(answer: PrepareAnswer): void {
    [...this.wanted.values()].forEach(wanted => this.answer(wanted, answer));
  }

  private forgetOrders(): void {
    this.given.clear();
    this.unclear = undefined;
  }
}

/** Whether an engine began anew between two looks at it. */
function hasRestarted(before: EngineState, after: EngineState): boolean {
  return after.bornAt !== before.bornAt || after.sequence < before.sequence;
}

function orderedAdapter(
  planned: PlannedOrder,
): Pick<AdapterOrder, 'kind' | 'model' | 'adapter' | 'version'> {
  if (planned.kind === 'load-model') {
    return {kind: 'load', model: planned.model};
  }
  if (planned.kind === 'load') {
    const {model, adapter, version} = planned.wanted;
    return {kind: 'load', model, adapter, version: version || undefined};
  }
  const [model, adapter] = planned.name.split('/');
  return {kind: 'unload', model, adapter};
}
