import {UseRateEstimator} from '@marigoldspur/adapter-use-rates';
import {chooseEngine, type EngineCandidate} from '@marigoldspur/engine-choice';
import {createLoadOrder} from '@marigoldspur/load-order';
import {PermitQueue} from '@marigoldspur/load-permits';
import {
  createPlacementPolicy,
  type PlacementCandidate,
  type PlacementPolicyName,
} from '@marigoldspur/placement';
import {RandomSource} from './random-source.js';

/** CPU time of a decision at one input size. */
export interface DecisionCost {
  readonly decision: string;
  /** Number of placement candidates or waiting loads. */
  readonly size: number;
  readonly cpuMicroseconds: number;
}

/** Heap memory of a use rate estimator. */
export interface EstimatorMemory {
  /** Number of adapters that the estimator tracks. */
  readonly adapters: number;
  readonly bytesPerAdapter: number;
}

const CANDIDATE_COUNTS = [12, 120, 1_200];
const ENGINE_COUNTS = [33, 120, 1_200];
const QUEUE_LENGTHS = [10, 100, 1_000];
const ADAPTER_COUNTS = [3_000, 36_000];
const SLOTS_PER_ENGINE = 6;
const PLACEMENT_POLICIES: readonly PlacementPolicyName[] = [
  'hash-home',
  'demand-aware',
];
const ADAPTERS_PER_SLOT = 5;
/** Interval between two requests at one entry. */
const REQUEST_INTERVAL_MS = 125;
const MEASURED_PLACEMENTS = 2_000;
const MEASURED_PERMITS = 200;
const SEED = 1;

/** Measures the CPU time of placement, engine and permit decisions at several input sizes. */
export function measureDecisions(): DecisionCost[] {
  const placements = PLACEMENT_POLICIES.flatMap(name =>
    CANDIDATE_COUNTS.map(size => measurePlacement(name, size)),
  );
  return [
    ...placements,
    ...ENGINE_COUNTS.map(measureEngineChoice),
    ...QUEUE_LENGTHS.map(measurePermit),
  ];
}

/** Measures the memory of use rate estimators; accurate only if Node.js runs with `--expose-gc`. */
export function measureEstimatorMemory(): EstimatorMemory[] {
  return ADAPTER_COUNTS.map(adapters => {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const estimator = new UseRateEstimator({
      halfLifeMs: 1_000,
      maxModels: adapters,
    });
    for (let index = 0; index < adapters; index += 1) {
      const model = `adapter-${index}@v1`;
      estimator.recordUse(model, index + 0.5);
      estimator.recordUse(model, index + 0.75);
    }
    globalThis.gc?.();
    const heapGrowth = process.memoryUsage().heapUsed - heapBefore;
    return {adapters: estimator.size, bytesPerAdapter: heapGrowth / adapters};
  });
}

function measurePlacement(
  name: PlacementPolicyName,
  size: number,
): DecisionCost {
  const random = new RandomSource(SEED);
  const placement = createPlacementPolicy(name, random.uniform);
  const candidates = createCandidates(size);
  const cpuMicroseconds = measureCpuMicroseconds(MEASURED_PLACEMENTS, index => {
    const model = `adapter-${random.integerBelow(size * SLOTS_PER_ENGINE * ADAPTERS_PER_SLOT)}@v1`;
    const now = index * REQUEST_INTERVAL_MS;
    placement.choose({model, zone: 'zone-0'}, candidates, now);
  });
  return {decision: name, size, cpuMicroseconds};
}

function createCandidates(size: number): PlacementCandidate[] {
  return Array.from({length: size}, (_, index) => ({
    name: `engine-${index}`,
    zone: 'zone-0',
    resident: new Set(
      Array.from(
        {length: SLOTS_PER_ENGINE},
        (_each, slot) => `adapter-${index * SLOTS_PER_ENGINE + slot}@v1`,
      ),
    ),
    pinned: new Set<string>(),
    slots: SLOTS_PER_ENGINE,
    load: index % SLOTS_PER_ENGINE,
    batchLimit: 16,
  }));
}

/** Measures the CPU time to choose an engine while other entries choose by the same reports. */
function measureEngineChoice(size: number): DecisionCost {
  const random = new RandomSource(SEED);
  const candidates = Array.from({length: size}, (_, index) =>
    createEngineCandidate(index),
  );
  const cpuMicroseconds = measureCpuMicroseconds(MEASURED_PLACEMENTS, () => {
    const adapter = random.integerBelow(size * SLOTS_PER_ENGINE);
    const request = {
      affinityKey: `model/adapter-${adapter}`,
      zone: 'zone-0',
      promptTokens: 5_000,
      memoryTokens: 5_100,
    };
    chooseEngine(request, candidates, {
      hiddenRequests: size,
      hiddenShare: 1 / SLOTS_PER_ENGINE,
      random: random.uniform,
    });
  });
  return {decision: 'engine-choice', size, cpuMicroseconds};
}

function createEngineCandidate(index: number): EngineCandidate {
  return {
    name: `engine-${index}`,
    zone: 'zone-0',
    adapterState: index % SLOTS_PER_ENGINE === 0 ? 'held' : 'absent',
    idleSlots: 1,
    slotReleaseIntervalMs: 300,
    cachedTokens: 0,
    pendingTokens: 0,
    running: index % SLOTS_PER_ENGINE,
    waiting: index % 2,
    batchLimit: 64,
    tokenMemory: 200_000,
    memoryUsed: 0.2,
    promisedTokens: 0,
    failureRate: 0,
    prefillFactor: 1,
    decodeFactor: 1,
    pace: 1,
  };
}

/**
 * Measures the CPU time to queue a permit request, including the refusals, the grant and
 * the release of the permit that follow.
 */
function measurePermit(size: number): DecisionCost {
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
  const enqueueLoad = (index: number) =>
    queue.enqueue({
      id: `load-${index}`,
      model: `adapter-${index}@v1`,
      askedAt: index,
      waiters: 1 + (index % SLOTS_PER_ENGINE),
      priority: 5,
      deadline: Number.MAX_SAFE_INTEGER,
    });
  for (let index = 0; index < size; index += 1) {
    enqueueLoad(index);
  }
  const cpuMicroseconds = measureCpuMicroseconds(MEASURED_PERMITS, index => {
    enqueueLoad(size + index);
    queue.dropLate(index);
    const load = queue.grantNext(index);
    if (load !== undefined) {
      queue.release(load.id, 'loaded', index);
    }
  });
  return {decision: 'permit', size, cpuMicroseconds};
}

/** Measures the mean CPU time of a call, in microseconds, after the same number of warm-up calls. */
function measureCpuMicroseconds(
  callCount: number,
  run: (index: number) => void,
): number {
  for (let index = 0; index < callCount; index += 1) {
    run(index);
  }
  const before = process.cpuUsage();
  for (let index = 0; index < callCount; index += 1) {
    run(callCount + index);
  }
  const {user, system} = process.cpuUsage(before);
  return (user + system) / callCount;
}
