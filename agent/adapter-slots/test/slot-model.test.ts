import {expect} from 'chai';
import fc from 'fast-check';
import {LruEviction} from '@marigoldspur/eviction';
import {
  SlotTable,
  type Pin,
  type SlotReservation,
} from '@marigoldspur/adapter-slots';

const SEED = Number(process.env['FAST_CHECK_SEED'] ?? 7);
const RUNS = Number(process.env['FAST_CHECK_RUNS'] ?? 500);
const SLOTS = 2;
const MODELS = ['a@1', 'b@1', 'c@1', 'd@1'];

type Step =
  | {do: 'need' | 'distrust'; model: string}
  | {do: 'end'; which: number}
  | {do: 'load' | 'fail' | 'keep'; which: number}
  | {do: 'engine-restart' | 'agent-restart' | 'reconcile'};

interface RunningRequest {
  readonly model: string;
  readonly pin: Pin;
}

/**
 * Simulates an engine and the slot table of its agent, with running requests
 * and pending orders.
 */
class Simulation {
  table = new SlotTable(SLOTS, new LruEviction());
  readonly held = new Set<string>();
  running: RunningRequest[] = [];
  ordered: SlotReservation[] = [];
  private now = 0;

  apply(step: Step): void {
    this.now += 1;
    switch (step.do) {
      case 'need':
        return this.need(step.model);
      case 'distrust':
        return this.table.distrust(step.model);
      case 'end':
        return this.running
          .splice(step.which % Math.max(1, this.running.length), 1)
          .forEach(run => run.pin.release(this.now));
      case 'load':
      case 'fail':
      case 'keep':
        return this.ordered
          .splice(step.which % Math.max(1, this.ordered.length), 1)
          .forEach(order => this.settle(order, step.do));
      case 'engine-restart':
        this.held.clear();
        this.running = [];
        return this.table.reset(SLOTS, [], this.now);
      case 'agent-restart':
        return this.restartAgent();
      case 'reconcile':
        return this.table.reconcile([...this.held], this.now);
    }
  }

  check(): void {
    for (const run of this.running) {
      expect(this.held.has(run.model), `${run.model} is in use`).to.equal(true);
    }
    expect(this.held.size).to.be.at.most(SLOTS);
    for (const model of this.table.resident()) {
      expect(this.held.has(model), `${model} is resident`).to.equal(true);
    }
  }

  private need(model: string): void {
    const pin = this.table.pin(model, this.now);
    if (pin !== undefined) {
      this.running.push({model, pin});
      return;
    }
    const order = this.table.reserve(model, this.now);
    if (order !== undefined) {
      this.ordered.push(order);
    }
  }

  /**
   * If the engine restarted in the meantime, there is nothing to unload and the
   * load is not recorded.
   */
  private settle(order: SlotReservation, how: 'load' | 'fail' | 'keep'): void {
    const isStale = !this.table.pendingModels().includes(order.model);
    if (isStale || how === 'keep') {
      this.table.cancel(order, true);
      return;
    }
    if (order.evict !== undefined) {
      this.held.delete(order.evict);
    }
    if (how === 'fail') {
      this.table.cancel(order, false);
      return;
    }
    this.held.add(order.model);
    this.table.completeLoad(order, this.now);
  }

  /**
   * The new agent knows only the adapters and requests that the engine reports.
   */
  private restartAgent(): void {
    this.ordered = [];
    this.table = new SlotTable(SLOTS, new LruEviction());
    this.table.reset(SLOTS, [...this.held], this.now);
    this.running = this.running.map(({model}) => ({
      model,
      pin: this.table.pinRunning(model, this.now),
    }));
  }
}

const model = fc.constantFrom(...MODELS);
const which = fc.nat(5);
const step: fc.Arbitrary<Step> = fc.oneof(
  {weight: 6, arbitrary: fc.record({do: fc.constant('need' as const), model})},
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('end' as const),
      which,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('load' as const),
      which,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constantFrom('fail' as const, 'keep' as const),
      which,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('distrust' as const), model}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constantFrom(
        'engine-restart' as const,
        'agent-restart' as const,
        'reconcile' as const,
      ),
    }),
  },
);

it('slot model: adapters in use stay loaded, and resident adapters are loaded in the engine', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60, size: 'max'}), steps => {
      const simulation = new Simulation();
      for (const each of steps) {
        simulation.apply(each);
        simulation.check();
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
});
