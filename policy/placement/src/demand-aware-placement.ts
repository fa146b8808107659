import {UseRateEstimator} from '@marigoldspur/demand';
import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';
import {RecentChoices} from './recent-choices.js';
import {rendezvousOrder} from './rendezvous.js';

/** Options of the demand-aware placement. */
export interface DemandAwareOptions {
  /** Weight of load stalls against batch efficiency: 1 is stalls only. */
  readonly stallWeight?: number;
  /** Targets, first in rendezvous order, among which a home is chosen. */
  readonly homes?: number;
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs?: number;
  /** How long a choice stands in for the target's report, in milliseconds. */
  readonly recentMs?: number;
  /** Share of its batch limit at which a target that holds the adapter counts as full. */
  readonly fullAt?: number;
  /** What each place further down the rendezvous order costs a home. */
  readonly rankCost?: number;
  /** Power of the share of demand that an eviction loses: above 1, small losses cost little. */
  readonly lossPower?: number;
  /**
   * Share of the slots in use at which batch fill counts with its whole weight, with
   * less below and more above; 0 for the same weight always.
   */
  readonly busyAt?: number;
}

const DEFAULT_STALL_WEIGHT = 0.5;
const DEFAULT_HOMES = 12;
const DEFAULT_HALF_LIFE_MS = 300_000;
const DEFAULT_RECENT_MS = 2_000;
const DEFAULT_FULL_AT = 1;
const DEFAULT_RANK_COST = 0.005;
const DEFAULT_LOSS_POWER = 2;
const DEFAULT_BUSY_AT = 0.25;
/** Above each cost of a target with a slot for the adapter. */
const NO_SLOT_COST = 2;
const MAX_MODELS = 65_536;

/**
 * Sends a request where its adapter is held or being loaded, unless the batch
 * there is full. Other adapters go to the home, among the first in rendezvous
 * order, whose least wanted adapter is the smallest loss; of near-equal homes
 * to the first in that order, so that entries agree without talking.
 */
export class DemandAwarePlacement implements PlacementPolicy {
  private readonly leastLoaded = new LeastLoadedPlacement();
  private readonly rates: UseRateEstimator;
  private readonly recent: RecentChoices;
  private readonly stallWeight: number;
  private readonly homes: number;
  private readonly fullAt: number;
  private readonly rankCost: number;
  private readonly lossPower: number;
  private readonly busyAt: number;

  constructor(options: DemandAwareOptions = {}) {
    this.rates = new UseRateEstimator({
      halfLifeMs: options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
    this.recent = new RecentChoices(options.recentMs ?? DEFAULT_RECENT_MS);
    this.stallWeight = options.stallWeight ?? DEFAULT_STALL_WEIGHT;
    this.homes = options.homes ?? DEFAULT_HOMES;
    this.fullAt = options.fullAt ?? DEFAULT_FULL_AT;
    this.rankCost = options.rankCost ?? DEFAULT_RANK_COST;
    this.lossPower = options.lossPower ?? DEFAULT_LOSS_POWER;
    this.busyAt = options.busyAt ?? DEFAULT_BUSY_AT;
  }

  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
    now: number,
  ): PlacementCandidate | undefined {
    const {model} = request;
    if (model === undefined) {
      return this.leastLoaded.choose(request, candidates);
    }
    this.rates.recordUse(model, now);
    const chosen =
      this.holder(model, candidates, now) ??
      this.home(model, candidates, now) ??
      this.leastLoaded.choose(request, candidates);
    if (chosen !== undefined) {
      this.recent.record(model, chosen.name, now);
    }
    return chosen;
  }

  /** The holder with room that suits the weight best; undefined where each is full. */
  private holder(
    model: string,
    candidates: readonly PlacementCandidate[],
    now: number,
  ) {
    const holders = candidates.filter(
      candidate =>
        !this.isFull(candidate) &&
        (candidate.resident.has(model) ||
          candidate.loading?.has(model) === true ||
          this.recent.has(model, candidate.name, now)),
    );
    return lowest(holders, candidate => this.loadCost(candidate));
  }

  /** The home whose next adapter to leave is the smallest loss; undefined where each is full. */
  private home(
    model: string,
    candidates: readonly PlacementCandidate[],
    now: number,
  ) {
    const open = candidates.filter(candidate => !this.isFull(candidate));
    const homes = rendezvousOrder(model, open).slice(0, this.homes);
    const fillWeight = this.fillWeight(candidates);
    return lowest(
      homes,
      (candidate, rank) =>
        this.homeCost(model, candidate, fillWeight, now) + this.rankCost * rank,
    );
  }

  private homeCost(
    model: string,
    candidate: PlacementCandidate,
    fillWeight: number,
    now: number,
  ): number {
    const own = this.rates.rate(model, now);
    const loss = this.evictionLoss(candidate, now);
    if (loss === Infinity) {
      return NO_SLOT_COST;
    }
    const lossCost = (loss / (loss + own)) ** this.lossPower;
    return this.stallWeight * lossCost - fillWeight * fill(candidate);
  }

  /** Weight of batch fill in the choice of a home; it rises with the use of the slots. */
  private fillWeight(candidates: readonly PlacementCandidate[]): number {
    const weight = 1 - this.stallWeight;
    return this.busyAt === 0
      ? weight
      : (weight * usedShare(candidates)) / this.busyAt;
  }

  /**
   * Rate of the adapter that the next load evicts: 0 where a slot is free,
   * infinite where each adapter is in use.
   */
  private evictionLoss(candidate: PlacementCandidate, now: number): number {
    const {resident, pinned, loading} = candidate;
    const coming = this.recent.countUnreported(candidate, now);
    const taken = (loading?.size ?? 0) + coming;
    const free = candidate.slots - resident.size - taken;
    if (free > 0) {
      return 0;
    }
    const rates = [...resident]
      .filter(model => pinned?.has(model) !== true)
      .map(model => this.rates.rate(model, now))
      .sort((a, b) => a - b);
    return rates[-free] ?? Infinity;
  }

  private loadCost(candidate: PlacementCandidate): number {
    return (2 * this.stallWeight - 1) * fill(candidate);
  }

  private isFull(candidate: PlacementCandidate): boolean {
    return candidate.load >= this.fullAt * candidate.batchLimit;
  }
}

function fill(candidate: PlacementCandidate): number {
  return candidate.load / candidate.batchLimit;
}

/** Share of all slots whose adapters requests use at present. */
function usedShare(candidates: readonly PlacementCandidate[]): number {
  let used = 0;
  let slots = 0;
  for (const candidate of candidates) {
    used += candidate.pinned?.size ?? 0;
    slots += candidate.slots;
  }
  return slots === 0 ? 0 : used / slots;
}

/** The first item of the lowest cost. */
function lowest<Item>(
  items: readonly Item[],
  cost: (item: Item, index: number) => number,
): Item | undefined {
  let best: Item | undefined;
  let bestCost = Infinity;
  for (const [index, item] of items.entries()) {
    const itemCost = cost(item, index);
    if (itemCost < bestCost) {
      best = item;
      bestCost = itemCost;
    }
  }
  return best;
}
