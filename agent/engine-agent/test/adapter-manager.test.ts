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

/** An engine that carries orders out at once, unless the test says otherwise. */
class EngineFake implements ManagedEngine {
  readonly orders: AdapterOrder[] = [];
  readonly adapters = new Map<string, number>();
  readonly models = new Set(['m']);
  sequence = 0;
  bornAt = 1;
  /** Orders whose answers are lost; `late` ones are not carried out either. */
  lose: 'none' | 'answer' | 'late' = 'none';
  /** Runs on an old version hold up its replacement. */
  replacing = false;

  async read(): Promise<Result<EngineState, Fault>> {
    return Result.ok({
      bornAt: this.bornAt,
      sequence: this.sequence,
      busy: false,
      models: new Set(this.models),
      adapters: new Map(this.adapters),
      loading: new Set<string>(),
      running: 0,
      waiting: 0,
      memoryUsed: 0,
    });
  }

  async order(order: AdapterOrder): Promise<Result<OrderOutcome, Fault>> {
    this.orders.push(order);
    const {lose} = this;
    if (lose === 'late') {
      this.lose = 'none';
      return Result.err(new Fault('TIMEOUT', 'no answer'));
    }
    if (order.sequence !== this.sequence) {
      return Result.ok<OrderOutcome, Fault>('conflict');
    }
    this.sequence += 1;
    this.carryOut(order);
    if (lose === 'answer') {
      this.lose = 'none';
      return Result.err(new Fault('TIMEOUT', 'no answer'));
    }
    return Result.ok<OrderOutcome, Fault>('accepted');
  }

  close(): void {}

  private carryOut({kind, model, adapter, version = 1}: AdapterOrder): void {
    const name = `${model}/${adapter}`;
    if (adapter === undefined) {
      this.models.add(model);
    } else if (kind === 'unload') {
      this.adapters.delete(name);
    } else if (!this.replacing || !this.adapters.has(name)) {
      this.adapters.set(name, version);
      expect(this.adapters.size).to.be.at.most(SLOTS);
    }
  }
}

function keeperOf(
  engine: ManagedEngine,
  onView: (view: EngineView) => void = () => {},
): AdapterManager {
  const keeper = new AdapterManager({
    engine,
    events: new EventLog({process: 'test'}),
    fence: () => 7,
    renewFence: () => {},
    onView,
  });
  keeper.start();
  return keeper;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

function prepare(keeper: AdapterManager, adapter: string, version?: number) {
  const request = {model: 'm', adapter, version, slots: SLOTS, target: 't'};
  const {signal} = new AbortController();
  return keeper.prepare(request, signal, performance.now());
}

it('adapter keeper: loads what is asked for and never more than fits', async () => {
  const engine = new EngineFake();
  const keeper = keeperOf(engine);
  const names = ['a', 'b', 'c', 'd'];
  const answers = await Promise.all(names.map(name => prepare(keeper, name)));
  expect(answers.every(({ready}) => ready)).to.equal(true);
  expect(engine.orders.every(({fence}) => fence === 7)).to.equal(true);
  await keeper.stop();
});

it('adapter keeper: calls for one adapter share its load', async () => {
  const engine = new EngineFake();
  const keeper = keeperOf(engine);
  await Promise.all([prepare(keeper, 'a'), prepare(keeper, 'a')]);
  expect(engine.orders).to.have.length(1);
  await keeper.stop();
});

it('adapter keeper: a load whose answer was lost is not ordered again', async () => {
  const engine = new EngineFake();
  engine.lose = 'answer';
  const keeper = keeperOf(engine);
  expect((await prepare(keeper, 'a')).ready).to.equal(true);
  expect(engine.orders).to.have.length(1);
  await keeper.stop();
});

it('adapter keeper: an order that may come late is repeated with the same number', async () => {
  const engine = new EngineFake();
  engine.lose = 'late';
  const keeper = keeperOf(engine);
  expect((await prepare(keeper, 'a')).ready).to.equal(true);
  const [late, again] = engine.orders;
  expect(again.sequence).to.equal(late.sequence);
  const outcome = await engine.order(late);
  expect(outcome.isOk && outcome.value).to.equal('conflict');
  await keeper.stop();
});

it('adapter keeper: a replacement that waits for runs is ordered once', async () => {
  const engine = new EngineFake();
  engine.adapters.set('m/a', 1);
  engine.replacing = true;
  const keeper = keeperOf(engine);
  const ready = prepare(keeper, 'a', 2);
  await prepare(keeper, 'b');
  await prepare(keeper, 'b');
  engine.adapters.set('m/a', 2);
  expect((await ready).ready).to.equal(true);
  const orders = engine.orders.filter(({adapter}) => adapter === 'a');
  expect(orders).to.have.length(1);
  await keeper.stop();
});

it('adapter keeper: an engine that starts again gets its model first', async () => {
  const engine = new EngineFake();
  engine.models.clear();
  const keeper = keeperOf(engine);
  expect((await prepare(keeper, 'a')).ready).to.equal(true);
  expect(engine.orders.map(({adapter}) => adapter)).to.eql([undefined, 'a']);
  await keeper.stop();
});

it('adapter keeper: tells of adapters that wait for a slot, and of none it was not asked for', async () => {
  const engine = new EngineFake();
  const views: EngineView[] = [];
  const keeper = keeperOf(engine, view => views.push(view));
  await until(() => views.length > 0);
  await prepare(keeper, 'a');
  await prepare(keeper, 'b');
  void prepare(keeper, 'c');
  await until(() => views.at(-1)?.awaited.includes('m/c') === true);
  expect(views[0]).to.deep.include({awaited: [], takenSlots: 0});
  expect(views.at(-1)?.takenSlots).to.equal(SLOTS);
  await keeper.stop();
});
