import {UseRateEstimator} from '@marigoldspur/adapter-use-rates';
import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';
import {RecentChoices} from './recent-choices.js';
import {rendezvousOrder} from './rendezvous.js';

/** Options of demand-aware placement. */
export interface DemandAwareOptions {
  /**
   * Weight of load stalls relative to batch efficiency; at 1 only stalls count.
   */
  readonly stallWeight?: number;
  /**
   * Number of targets, from the start of the rendezvous order, among which a
   * home is chosen.
   */
  readonly homes?: number;
  /** Half-life of a use, in milliseconds. */
  readonly halfLifeMs?: number;
  /**
   * How long a choice is used until the target's report shows it, in
   * milliseconds.
   */
  readonly recentMs?: number;
  /** Share of its batch limit at which a target counts as full. */
  readonly fullAt?: number;
  /** Cost of each further rank in the rendezvous order. */
  readonly rankCost?: number;
  /**
   * Exponent of the share of demand that an eviction loses; above 1, small
   * losses cost little.
   */
  readonly lossPower?: number;
  /**
   * Share of used slots at which batch fill counts with its full weight; it
   * counts less below and more above. 0 means a constant weight.
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
/** Higher than the cost of any target that has a slot for the adapter. */
const NO_SLOT_COST = 2;
const MAX_MODELS = 65_536;

/**
 * Sends a request to a target that holds or loads its adapter, unless its batch
 * is full. Other adapters go to a home among the first targets in rendezvous
 * order: the one where evicting the least used adapter loses the least demand.
 * Of nearly equal homes the first in that order is chosen, so that entries
 * agree without communication.
 */
export class DemandAwarePlacement implements PlacementPolicy {
  private readonly leastLoaded = new LeastLoadedPlacement();
  private readonly rateEstimator: UseRateEstimator;
  private readonly recentChoices: RecentChoices;
  private readonly stallWeight: number;
  private readonly homes: number;
  private readonly fullAt: number;
  private readonly rankCost: number;
  private readonly lossPower: number;
  private readonly busyAt: number;

  constructor(options: DemandAwareOptions = {}) {
    this.rateEstimator = new UseRateEstimator({
      halfLifeMs: options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
    this.recentChoices = new RecentChoices(
      options.recentMs ?? DEFAULT_RECENT_MS,
    );
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
    this.rateEstimator.recordUse(model, now);
    const chosen =
      this.chooseHolder(model, candidates, now) ??
      this.chooseHome(model, candidates, now) ??
      this.leastLoaded.choose(request, candidates);
    if (chosen !== undefined) {
      this.recentChoices.record(model, chosen.name, now);
    }
    return chosen;
  }

  /** The holder with the lowest cost; undefined if all holders are full. */
  private chooseHolder(
    model: string,
    candidates: readonly PlacementCandidate[],
    now: number,
  ) {
    const holders = candidates.filter(
      candidate =>
        !this.isFull(candidate) &&
        (candidate.resident.has(model) ||
          candidate.loading?.has(model) === true ||
          this.recentChoices.has(model, candidate.name, now)),
    );
    return findLowestCost(holders, candidate => this.holderCost(candidate));
  }

  /**
   * The home whose next eviction loses the least demand; undefined if all homes
   * are full.
   */
  private chooseHome(
    model: string,
    candidates: readonly PlacementCandidate[],
    now: number,
  ) {
    const withRoom = candidates.filter(candidate => !this.isFull(candidate));
    const homes = rendezvousOrder(model, withRoom).slice(0, this.homes);
    const fillWeight = this.fillWeight(candidates);
    return findLowestCost(
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
    const ownRate = this.rateEstimator.rate(model, now);
    const loss = this.evictionLoss(candidate, now);
    if (loss === Infinity) {
      return NO_SLOT_COST;
    }
    const lossCost = (loss / (loss + ownRate)) ** this.lossPower;
    return this.stallWeight * lossCost - fillWeight * batchFill(candidate);
  }

  /**
   * Weight of batch fill in the choice of a home; it rises with the share of
   * used slots.
   */
  private fillWeight(candidates: readonly PlacementCandidate[]): number {
    const weight = 1 - this.stallWeight;
    return this.busyAt === 0
      ? weight
      : (weight * usedSlotShare(candidates)) / this.busyAt;
  }

  /**
   * Use rate of the adapter that the next load evicts: 0 if a slot is free,
   * infinite if all adapters are in use.
   */
  private evictionLoss(candidate: PlacementCandidate, now: number): number {
    const {resident, pinned, loading} = candidate;
    const unreported = this.recentChoices.countUnreported(candidate, now);
    const pendingLoads = (loading?.size ?? 0) + unreported;
    const freeSlots = candidate.slots - resident.size - pendingLoads;
    if (freeSlots > 0) {
      return 0;
    }
    const rates = [...resident]
      .filter(model => pinned?.has(model) !== true)
      .map(model => this.rateEstimator.rate(model, now))
      .sort((a, b) => a - b);
    return rates[-freeSlots] ?? Infinity;
  }

  /**
   * With a stall weight above 0.5 the holder with the emptier batch is cheaper,
   * below 0.5 the one with the fuller batch.
   */
  private holderCost(candidate: PlacementCandidate): number {
    return (2 * this.stallWeight - 1) * batchFill(candidate);
  }

  private isFull(candidate: PlacementCandidate): boolean {
    return candidate.load >= this.fullAt * candidate.batchLimit;
  }
}

function batchFill(candidate: PlacementCandidate): number {
  return candidate.load / candidate.batchLimit;
}

/** Share of all slots whose adapters are used by running requests. */
function usedSlotShare(candidates: readonly PlacementCandidate[]): number {
  let used = 0;
  let slots = 0;
  for (const candidate of candidates) {
    used += candidate.pinned?.size ?? 0;
    slots += candidate.slots;
  }
  return slots === 0 ? 0 : used / slots;
}

/** The first item with the lowest cost. */
function findLowestCost<Item>(
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
