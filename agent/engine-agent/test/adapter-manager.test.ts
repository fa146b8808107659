import {expect} from 'chai';
import {Result} from 'true-myth';
import type {EngineView} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {
  AdapterManager,
  type AdapterOrder,
  type EngineState,
  type ManagedEngine,
  type OrderOutcome,
} from '@marigoldspur/engine-agent';

const SLOTS = 2;

/** An engine that executes orders immediately unless configured otherwise. */
class FakeEngine implements ManagedEngine {
  readonly orders: AdapterOrder[] = [];
  readonly adapters = new Map<string, number>();
  readonly models = new Set(['m']);
  /** Whether it held more models than one at some moment. */
  wasOverloaded = false;
  /** A model that is being loaded; the load ends when a test ends it. */
  loadingModel: string | undefined;
  /** Whether loads of models take until `finishModelLoad`. */
  delayModels = false;
  sequence = 0;
  bornAt = 1;
  /**
   * Which order loses its answer; with `late` the order is not executed either.
   */
  lostOrders: 'none' | 'answer' | 'late' = 'none';
  /** Whether running requests on an old version delay its replacement. */
  delayReplacement = false;

  async read(): Promise<Result<EngineState, Fault>> {
    return Result.ok({
      bornAt: this.bornAt,
      sequence: this.sequence,
      busy: this.loadingModel !== undefined,
      models: new Set(this.models),
      adapters: new Map(this.adapters),
      loading: new Set<string>(),
      running: 0,
      waiting: 0,
      memoryUsed: 0,
    });
  }

  async sendOrder(order: AdapterOrder): Promise<Result<OrderOutcome, Fault>> {
    this.orders.push(order);
    const {lostOrders} = this;
    if (lostOrders === 'late') {
      this.lostOrders = 'none';
      return Result.err(new Fault('TIMEOUT', 'no answer'));
    }
    if (order.sequence !== this.sequence) {
      return Result.ok<OrderOutcome, Fault>('conflict');
    }
    this.sequence += 1;
    this.executeOrder(order);
    if (lostOrders === 'answer') {
      this.lostOrders = 'none';
      return Result.err(new Fault('TIMEOUT', 'no answer'));
    }
    return Result.ok<OrderOutcome, Fault>('accepted');
  }

  close(): void {}

  finishModelLoad(): void {
    if (this.loadingModel !== undefined) {
      this.models.add(this.loadingModel);
    }
    this.loadingModel = undefined;
  }

  private executeOrder({
    kind,
    model,
    adapter,
    version = 1,
  }: AdapterOrder): void {
    const name = `${model}/${adapter}`;
    if (adapter === undefined && kind === 'unload') {
      this.models.delete(model);
    } else if (adapter === undefined) {
      this.wasOverloaded ||= this.models.size > 0;
      this.loadingModel = model;
      if (!this.delayModels) {
        this.finishModelLoad();
      }
    } else if (kind === 'unload') {
      this.adapters.delete(name);
    } else if (!this.delayReplacement || !this.adapters.has(name)) {
      this.adapters.set(name, version);
      expect(this.adapters.size).to.be.at.most(SLOTS);
    }
  }
}

function startManager(
  engine: ManagedEngine,
  onView: (view: EngineView) => void = () => {},
): AdapterManager {
  const manager = new AdapterManager({
    engine,
    events: new EventLog({process: 'test'}),
    fence: () => 7,
    renewFence: () => {},
    onView,
  });
  manager.start();
  return manager;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

function prepare(manager: AdapterManager, adapter: string, version?: number) {
  const request = {model: 'm', adapter, version, slots: SLOTS, target: 't'};
  const {signal} = new AbortController();
  return manager.prepare(request, signal, performance.now());
}

it('adapter manager: loads all requested adapters without exceeding the slots', async () => {
  const engine = new FakeEngine();
  const manager = startManager(engine);
  const names = ['a', 'b', 'c', 'd'];
  const answers = await Promise.all(names.map(name => prepare(manager, name)));
  expect(answers.every(({ready}) => ready)).to.equal(true);
  expect(engine.orders.every(({fence}) => fence === 7)).to.equal(true);
  await manager.stop();
});

it('adapter manager: calls for one adapter share a load', async () => {
  const engine = new FakeEngine();
  const manager = startManager(engine);
  await Promise.all([prepare(manager, 'a'), prepare(manager, 'a')]);
  expect(engine.orders).to.have.length(1);
  await manager.stop();
});

it('adapter manager: a load whose answer was lost is not ordered again', async () => {
  const engine = new FakeEngine();
  engine.lostOrders = 'answer';
  const manager = startManager(engine);
  expect((await prepare(manager, 'a')).ready).to.equal(true);
  expect(engine.orders).to.have.length(1);
  await manager.stop();
});

it('adapter manager: an order that may arrive late is repeated with the same sequence number', async () => {
  const engine = new FakeEngine();
  engine.lostOrders = 'late';
  const manager = startManager(engine);
  expect((await prepare(manager, 'a')).ready).to.equal(true);
  const [late, repeated] = engine.orders;
  expect(repeated.sequence).to.equal(late.sequence);
  const outcome = await engine.sendOrder(late);
  expect(outcome.isOk && outcome.value).to.equal('conflict');
  await manager.stop();
});

it('adapter manager: a replacement that waits for running requests is ordered once', async () => {
  const engine = new FakeEngine();
  engine.adapters.set('m/a', 1);
  engine.delayReplacement = true;
  const manager = startManager(engine);
  const ready = prepare(manager, 'a', 2);
  await prepare(manager, 'b');
  await prepare(manager, 'b');
  engine.adapters.set('m/a', 2);
  expect((await ready).ready).to.equal(true);
  const orders = engine.orders.filter(({adapter}) => adapter === 'a');
  expect(orders).to.have.length(1);
  await manager.stop();
});

it('adapter manager: the model is loaded first after an engine restart', async () => {
  const engine = new FakeEngine();
  engine.models.clear();
  const manager = startManager(engine);
  expect((await prepare(manager, 'a')).ready).to.equal(true);
  expect(engine.orders.map(({adapter}) => adapter)).to.eql([undefined, 'a']);
  await manager.stop();
});

it('adapter manager: reports adapters that wait for a slot, and only requested ones', async () => {
  const engine = new FakeEngine();
  const views: EngineView[] = [];
  const manager = startManager(engine, view => views.push(view));
  await waitUntil(() => views.length > 0);
  await prepare(manager, 'a');
  await prepare(manager, 'b');
  void prepare(manager, 'c');
  await waitUntil(() => views.at(-1)?.awaited.includes('m/c') === true);
  expect(views[0]).to.deep.include({awaited: [], takenSlots: 0});
  expect(views.at(-1)?.takenSlots).to.equal(SLOTS);
  await manager.stop();
});

const MEMORY = {
  capacityMb: 35_300,
  models: ['m', 'n'].map(name => ({name, weightsMb: 34_300, adapterMb: 40})),
};

function prepareModel(manager: AdapterManager, model: string) {
  const request = {
    model,
    adapter: 'a',
    slots: SLOTS,
    target: 't',
    memory: MEMORY,
  };
  const {signal} = new AbortController();
  return manager.prepare(request, signal, performance.now());
}

// Guards against agents that order an engine to hold two models where one fits.
it('adapter manager: a model is refused at once while calls use another one that fills the memory', async () => {
  const engine = new FakeEngine();
  const manager = startManager(engine);
  expect((await prepareModel(manager, 'm')).ready).to.equal(true);
  const refused = await prepareModel(manager, 'n');
  expect(refused.reason).to.match(/no memory for model "n"/);
  expect(engine.orders.map(({model}) => model)).to.deep.equal(['m']);
  await manager.stop();
});

it('adapter manager: of two models that are requested at once for an empty engine one is loaded', async () => {
  const engine = new FakeEngine();
  engine.models.clear();
  engine.delayModels = true;
  const manager = startManager(engine);
  const first = prepareModel(manager, 'm');
  const second = prepareModel(manager, 'n');
  expect((await second).ready).to.equal(false);
  engine.finishModelLoad();
  expect((await first).ready).to.equal(true);
  expect(engine.wasOverloaded).to.equal(false);
  await manager.stop();
});

it('adapter manager: views name models without calls, but none right after the start', async () => {
  const engine = new FakeEngine();
  const views: EngineView[] = [];
  const manager = startManager(engine, view => views.push(view));
  await waitUntil(() => views.length > 0);
  expect(views[0].unusedModels).to.deep.equal([]);
  await manager.stop();
});
