import {RandomSource} from './random-source.js';
import {formatModel, planVersions, type NewVersion} from './version-plan.js';
import type {Disturbance, Scenario, Workload} from './workload.js';

/** A request of a trace. */
export interface Arrival {
  /** Time of arrival since the start of the run, in milliseconds. */
  readonly at: number;
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** Length of the response, in tokens. */
  readonly tokens: number;
  readonly repeatable: boolean;
  /** Index of the entry that receives the request. */
  readonly entry: number;
}

const MS_PER_SECOND = 1_000;
const SECONDS_PER_HOUR = 3_600;

/** Generates the requests of one run at `rate` requests per second, ordered by time. */
export function generateTrace(
  workload: Workload,
  scenario: Scenario,
  rate: number,
  seed: number,
): Arrival[] {
  const random = new RandomSource(seed);
  const sampler = new AdapterSampler(workload, scenario, random);
  const versions = planVersions(workload, scenario);
  const endMs =
    (workload.warmUpSeconds + workload.measuredSeconds) * MS_PER_SECOND;
  const arrivals: Arrival[] = [];
  let at = random.exponential(MS_PER_SECOND / rate);
  while (at < endMs) {
    const model = findModelAt(sampler.sample(at), at, versions);
    arrivals.push(createArrival(workload, at, model, random));
    at += random.exponential(MS_PER_SECOND / rate);
  }
  const extraArrivals = scenario.disturbances.flatMap(each =>
    createExtraArrivals(workload, each, random),
  );
  return [...arrivals, ...extraArrivals].sort((a, b) => a.at - b.at);
}

/** Finds the model name that callers use for an adapter at time `at`, in milliseconds. */
function findModelAt(
  adapter: number,
  at: number,
  versions: ReadonlyMap<number, NewVersion>,
): string {
  const newVersion = versions.get(adapter);
  return newVersion !== undefined && at >= newVersion.usedFrom
    ? newVersion.model
    : formatModel(adapter, 1);
}

function createArrival(
  workload: Workload,
  at: number,
  model: string,
  random: RandomSource,
): Arrival {
  const {median, sigma, max} = workload.tokens;
  return {
    at,
    model,
    tokens: Math.max(
      1,
      Math.min(max, Math.round(random.logNormal(median, sigma))),
    ),
    repeatable: random.uniform() >= workload.unrepeatableShare,
    entry: random.integerBelow(workload.cluster.entries),
  };
}

/** Creates the requests that a flash crowd or a scan adds; none for other disturbances. */
function createExtraArrivals(
  workload: Workload,
  disturbance: Disturbance,
  random: RandomSource,
): Arrival[] {
  if (disturbance.kind !== 'flash-crowd' && disturbance.kind !== 'scan') {
    return [];
  }
  const {adapters} = workload.cluster;
  const startMs = (workload.warmUpSeconds + disturbance.at) * MS_PER_SECOND;
  const count = Math.floor(disturbance.seconds * disturbance.rate);
  return Array.from({length: count}, (_, index) => {
    const at = startMs + (index * MS_PER_SECOND) / disturbance.rate;
    const adapter =
      disturbance.kind === 'scan'
        ? adapters - 1 - (index % adapters)
        : adapters - 1;
    return createArrival(workload, at, formatModel(adapter, 1), random);
  });
}

/** Exchanges the popularity ranks of two adapters. */
interface RankSwap {
  /** Time of the swap since the start of the run, in milliseconds. */
  readonly at: number;
  readonly firstRank: number;
  readonly secondRank: number;
}

/** Samples adapters from a Zipf distribution; disturbances of the scenario exchange their ranks. */
class AdapterSampler {
  private readonly cumulativeWeights: number[] = [];
  private readonly adapterOfRank: number[];
  private readonly swaps: RankSwap[];

  constructor(
    private readonly workload: Workload,
    scenario: Scenario,
    private readonly random: RandomSource,
  ) {
    const {adapters} = workload.cluster;
    let totalWeight = 0;
    for (let rank = 1; rank <= adapters; rank += 1) {
      totalWeight += rank ** -workload.skew;
      this.cumulativeWeights.push(totalWeight);
    }
    this.adapterOfRank = Array.from({length: adapters}, (_, rank) => rank);
    this.swaps = scenario.disturbances
      .flatMap(each => this.createSwaps(each))
      .sort((a, b) => a.at - b.at);
  }

  /**
   * Samples the adapter of a request at time `at`, in milliseconds. Times must not
   * decrease between calls.
   */
  sample(at: number): number {
    while (this.swaps.length > 0 && this.swaps[0].at <= at) {
      this.applySwap(this.swaps.shift()!);
    }
    const weight = this.random.uniform() * this.cumulativeWeights.at(-1)!;
    let low = 0;
    let high = this.cumulativeWeights.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.cumulativeWeights[middle] > weight) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return this.adapterOfRank[low];
  }

  private createSwaps(disturbance: Disturbance): RankSwap[] {
    const {warmUpSeconds, measuredSeconds, cluster} = this.workload;
    if (disturbance.kind === 'shift') {
      const at = (warmUpSeconds + disturbance.at) * MS_PER_SECOND;
      return Array.from({length: disturbance.adapters}, (_, rank) => ({
        at,
        firstRank: rank,
        secondRank: this.random.integerBelow(cluster.adapters),
      }));
    }
    if (disturbance.kind === 'wake-up') {
      const count = Math.round(
        (disturbance.sharePerHour * cluster.adapters * measuredSeconds) /
          SECONDS_PER_HOUR /
          2,
      );
      return Array.from({length: count}, () => ({
        at:
          (warmUpSeconds + this.random.uniform() * measuredSeconds) *
          MS_PER_SECOND,
        firstRank: this.random.integerBelow(cluster.adapters),
        secondRank: this.random.integerBelow(cluster.adapters),
      }));
    }
    return [];
  }

  private applySwap({firstRank, secondRank}: RankSwap): void {
    const adapter = this.adapterOfRank[firstRank];
    this.adapterOfRank[firstRank] = this.adapterOfRank[secondRank];
    this.adapterOfRank[secondRank] = adapter;
  }
}
