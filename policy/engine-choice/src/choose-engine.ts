import {PRIOR_COSTS, type ServiceCosts} from '@marigoldspur/expected-cost';
import {rendezvousRanks} from '@marigoldspur/placement';
import {
  estimate,
  estimateCommonMs,
  estimateCostMs,
  type EngineCandidate,
  type EngineRequest,
  type RankedEngine,
} from './rank-engines.js';
import {chooseBelow, preferredShare, waterLevel} from './water-level.js';

/** What is known besides the candidates when an engine is chosen. */
export interface EngineChoiceOptions {
  readonly costs?: ServiceCosts;
  /**
   * Requests that other processes are expected to send to these engines before this process
   * sees them; 0 if it is alone.
   */
  readonly hiddenRequests?: number;
  /** Share of these requests that have the affinity key of this one, 0 to 1. */
  readonly hiddenShare?: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** The engine chosen for a request, with its index among the candidates. */
export interface ChosenEngine extends RankedEngine {
  readonly index: number;
}

/** Hidden requests below which this process decides as if it were alone. */
const MIN_HIDDEN_REQUESTS = 0.5;

/**
 * Chooses the engine with the lowest cost; undefined if none has a finite cost.
 *
 * Other processes see the same old reports. An engine that looks idle to all of them is
 * filled by the requests that nobody sees yet, up to the level at which it is as loaded as
 * the others. Hidden requests with other keys count as such a load. Hidden requests with the
 * same key make the same choice, so that it is made at random among the engines that they
 * fill, by how much they fill each; if they are few, that is the engine with the lowest cost.
 */
export function chooseEngine(
  request: EngineRequest,
  candidates: readonly EngineCandidate[],
  options: EngineChoiceOptions,
): ChosenEngine | undefined {
  if (candidates.length === 0) {
    return undefined;
  }
  const {costs = PRIOR_COSTS, hiddenRequests = 0} = options;
  const ranks = rendezvousRanks(request.affinityKey, candidates);
  const costsMs = new Float64Array(candidates.length);
  for (let index = 0; index < candidates.length; index += 1) {
    const rank = ranks[index];
    costsMs[index] = estimateCostMs(request, candidates[index], rank, costs);
  }
  const index =
    hiddenRequests >= MIN_HIDDEN_REQUESTS
      ? spreadOver(candidates, costsMs, options)
      : indexOfMinimum(costsMs);
  if (index === undefined) {
    return undefined;
  }
  const chosen = candidates[index];
  return {...estimate(request, chosen, ranks[index], costs), index};
}

/** Index of the engine to use while other processes decide by the same old reports. */
function spreadOver(
  candidates: readonly EngineCandidate[],
  costsMs: Float64Array,
  {
    costs = PRIOR_COSTS,
    hiddenRequests = 0,
    hiddenShare = 0,
    random,
  }: EngineChoiceOptions,
): number | undefined {
  const requestMs = costs.meanPromptTokens / costs.prefillTokensPerMs;
  const hiddenMs = hiddenRequests * requestMs;
  const commonMs = new Float64Array(candidates.length);
  for (let index = 0; index < candidates.length; index += 1) {
    commonMs[index] = estimateCommonMs(candidates[index], costs);
  }
  const levelMs = waterLevel(commonMs, hiddenMs);
  if (random() >= preferredShare(commonMs, levelMs)) {
    const otherShare = 1 - hiddenShare;
    for (let index = 0; index < candidates.length; index += 1) {
      costsMs[index] += otherShare * Math.max(0, levelMs - commonMs[index]);
    }
  }
  const sameKeyMs = hiddenMs * hiddenShare;
  if (sameKeyMs < MIN_HIDDEN_REQUESTS * requestMs) {
    return indexOfMinimum(costsMs);
  }
  return chooseBelow(costsMs, waterLevel(costsMs, sameKeyMs), random());
}

/** Index of the lowest value; undefined if none is a finite number. */
function indexOfMinimum(values: Float64Array): number | undefined {
  let best: number | undefined;
  let lowest = Infinity;
  for (let index = 0; index < values.length; index += 1) {
    if (values[index] < lowest) {
      best = index;
      lowest = values[index];
    }
  }
  return best;
}
