import {UseRateEstimator} from '@marigoldspur/demand';
import {createLoadOrder} from '@marigoldspur/load-order';
import {PermitQueue} from '@marigoldspur/load-permits';
import {
  createPlacementPolicy,
  type PlacementCandidate,
  type PlacementPolicyName,
} from '@marigoldspur/placement';
import {RandomSource} from './random-source.js';

/** CPU time of one decision at one size. */
export interface DecisionCost {
  readonly decision: string;
  /** Candidates or loads that wait. */
  readonly size: number;
  readonly cpuMicroseconds: number;
}

/** Memory of one rate table. */
export interface TableCost {
  readonly adapters: number;
  readonly bytesPerAdapter: number;
}

const CANDIDATES = [12, 120, 1_200];
const QUEUE_LENGTHS = [10, 100, 1_000];
const ADAPTERS = [3_000, 36_000];
const SLOTS = 6;
const PLACEMENTS: readonly PlacementPolicyName[] = [
  'hash-home',
  'demand-aware',
];
/** Adapters for each slot. */
const ADAPTERS_PER_SLOT = 5;
/** Between two requests at one entry, in milliseconds. */
const REQUEST_GAP_MS = 125;
const PLACED = 2_000;
const GRANTED = 200;
const SEED = 1;

/** CPU time of placements and of permits, at several sizes. */
export function measureDecisions(): DecisionCost[] {
  const placements = PLACEMENTS.flatMap(name =>
    CANDIDATES.map(size => placementCost(name, size)),
  );
  return [...placements, ...QUEUE_LENGTHS.map(permitCost)];
}

/** Memory of rate tables; true only where Node runs with `--expose-gc`. */
export function measureTables(): TableCost[] {
  return ADAPTERS.map(adapters => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const table = new UseRateEstimator({
      halfLifeMs: 1_000,
      maxModels: adapters,
    });
    for (let index = 0; index < adapters; index += 1) {
      const model = `adapter-${index}@v1`;
      table.recordUse(model, index + 0.5);
      table.recordUse(model, index + 0.75);
    }
    globalThis.gc?.();
    const grown = process.memoryUsage().heapUsed - before;
    return {adapters: table.size, bytesPerAdapter: grown / adapters};
  });
}

function placementCost(name: PlacementPolicyName, size: number): DecisionCost {
  const random = new RandomSource(SEED);
  const placement = createPlacementPolicy(name, random.uniform);
  const candidates = candidatesOf(size);
  const cpuMicroseconds = cpuOf(PLACED, index => {
    const model = `adapter-${random.below(size * SLOTS * ADAPTERS_PER_SLOT)}@v1`;
    const now = index * REQUEST_GAP_MS;
    placement.choose({model, zone: 'zone-0'}, candidates, now);
  });
  return {decision: name, size, cpuMicroseconds};
}

function candidatesOf(size: number): PlacementCandidate[] {
  return Array.from({length: size}, (_, index) => ({
    name: `engine-${index}`,
    zone: 'zone-0',
    resident: new Set(
      Array.from(
        {length: SLOTS},
        (_each, slot) => `adapter-${index * SLOTS + slot}@v1`,
      ),
    ),
    pinned: new Set<string>(),
    slots: SLOTS,
    load: index % SLOTS,
    batchLimit: 16,
  }));
}

/** A question, the refusals and the grant that follow it, and the return of the permit. */
function permitCost(size: number): DecisionCost {
  const order = createLoadOrder('first-come');
  const queue = new PermitQueue({
    order: () => order,
    loadsAtOnce: 1,
    validMs: 60_000,
    queueLimit: size,
    patience: () => 1,
    overloadPatience: () => 1,
    overloadAfterMs: () => 30_000,
    overloadEndsAfterMs: 10_000,
    prefetchReserve: 0,
  });
  const ask = (index: number) =>
    queue.enqueue({
      id: `load-${index}`,
      model: `adapter-${index}@v1`,
      askedAt: index,
      waiters: 1 + (index % SLOTS),
      priority: 5,
      deadline: Number.MAX_SAFE_INTEGER,
    });
  for (let index = 0; index < size; index += 1) {
    ask(index);
  }
  const cpuMicroseconds = cpuOf(GRANTED, index => {
    ask(size + index);
    queue.dropLate(index);
    const load = queue.grantNext(index);
    if (load !== undefined) {
      queue.release(load.id, 'loaded', index);
    }
  });
  return {decision: 'permit', size, cpuMicroseconds};
}

function cpuOf(times: number, run: (index: number) => void): number {
  for (let index = 0; index < times; index += 1) {
    run(index);
  }
  const before = process.cpuUsage();
  for (let index = 0; index < times; index += 1) {
    run(times + index);
  }
  const {user, system} = process.cpuUsage(before);
  return (user + system) / times;
}
