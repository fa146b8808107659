import {RandomSource} from './random-source.js';
import {formatModel, planVersions, type NewVersion} from './version-plan.js';
import type {Disturbance, Scenario, Workload} from './workload.js';

/** A request as the trace gives it. */
export interface Arrival {
  /** In milliseconds. */
  readonly at: number;
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  readonly tokens: number;
  readonly repeatable: boolean;
  /** Number of the entry that takes it. */
  readonly entry: number;
}

const SECOND_MS = 1_000;
const HOUR_SECONDS = 3_600;

/** Generates the requests of one run at `rate` requests a second, in the order of time. */
export function generateTrace(
  workload: Workload,
  scenario: Scenario,
  rate: number,
  seed: number,
): Arrival[] {
  const random = new RandomSource(seed);
  const popularity = new Popularity(workload, scenario, random);
  const versions = planVersions(workload, scenario);
  const endMs = (workload.warmUpSeconds + workload.measuredSeconds) * SECOND_MS;
  const arrivals: Arrival[] = [];
  let at = random.exponential(SECOND_MS / rate);
  while (at < endMs) {
    const model = modelAt(popularity.draw(at), at, versions);
    arrivals.push(arrival(workload, at, model, random));
    at += random.exponential(SECOND_MS / rate);
  }
  const extra = scenario.disturbances.flatMap(each =>
    extraArrivals(workload, each, random),
  );
  return [...arrivals, ...extra].sort((a, b) => a.at - b.at);
}

/** What callers name an adapter at a time. */
function modelAt(
  adapter: number,
  at: number,
  versions: ReadonlyMap<number, NewVersion>,
): string {
  const next = versions.get(adapter);
  return next !== undefined && at >= next.usedFrom
    ? next.model
    : formatModel(adapter, 1);
}

function arrival(
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
    entry: random.below(workload.cluster.entries),
  };
}

/** Requests of a flash crowd or a scan, which come on top. */
function extraArrivals(
  workload: Workload,
  disturbance: Disturbance,
  random: RandomSource,
): Arrival[] {
  if (disturbance.kind !== 'flash-crowd' && disturbance.kind !== 'scan') {
    return [];
  }
  const {adapters} = workload.cluster;
  const startMs = (workload.warmUpSeconds + disturbance.at) * SECOND_MS;
  const count = Math.floor(disturbance.seconds * disturbance.rate);
  return Array.from({length: count}, (_, index) => {
    const at = startMs + (index * SECOND_MS) / disturbance.rate;
    const adapter =
      disturbance.kind === 'scan'
        ? adapters - 1 - (index % adapters)
        : adapters - 1;
    return arrival(workload, at, formatModel(adapter, 1), random);
  });
}

interface Swap {
  readonly at: number;
  readonly first: number;
  readonly second: number;
}

/** Draws adapters by Zipf's law; ranks change places as the scenario says. */
class Popularity {
  private readonly cumulative: number[] = [];
  private readonly adapterOfRank: number[];
  private readonly swaps: Swap[];

  constructor(
    private readonly workload: Workload,
    scenario: Scenario,
    private readonly random: RandomSource,
  ) {
    const {adapters} = workload.cluster;
    let sum = 0;
    for (let rank = 1; rank <= adapters; rank += 1) {
      sum += rank ** -workload.skew;
      this.cumulative.push(sum);
    }
    this.adapterOfRank = Array.from({length: adapters}, (_, rank) => rank);
    this.swaps = scenario.disturbances
      .flatMap(each => this.swapsOf(each))
      .sort((a, b) => a.at - b.at);
  }

  /** The adapter of a request at time `at`, in milliseconds. */
  draw(at: number): number {
    while (this.swaps.length > 0 && this.swaps[0].at <= at) {
      this.swap(this.swaps.shift()!);
    }
    const wanted = this.random.uniform() * this.cumulative.at(-1)!;
    let low = 0;
    let high = this.cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.cumulative[middle] > wanted) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return this.adapterOfRank[low];
  }

  private swapsOf(disturbance: Disturbance): Swap[] {
    const {warmUpSeconds, measuredSeconds, cluster} = this.workload;
    if (disturbance.kind === 'shift') {
      const at = (warmUpSeconds + disturbance.at) * SECOND_MS;
      return Array.from({length: disturbance.adapters}, (_, rank) => ({
        at,
        first: rank,
        second: this.random.below(cluster.adapters),
      }));
    }
    if (disturbance.kind === 'wake-up') {
      const count = Math.round(
        (disturbance.sharePerHour * cluster.adapters * measuredSeconds) /
          HOUR_SECONDS /
          2,
      );
      return Array.from({length: count}, () => ({
        at:
          (warmUpSeconds + this.random.uniform() * measuredSeconds) * SECOND_MS,
        first: this.random.below(cluster.adapters),
        second: this.random.below(cluster.adapters),
      }));
    }
    return [];
  }

  private swap({first, second}: Swap): void {
    const adapter = this.adapterOfRank[first];
    this.adapterOfRank[first] = this.adapterOfRank[second];
    this.adapterOfRank[second] = adapter;
  }
}
