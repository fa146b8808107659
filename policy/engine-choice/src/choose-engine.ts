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
import {levelOf} from './water-level.js';

/** What is known besides the candidates when an engine is chosen. */
export interface EngineChoiceOptions {
  readonly costs?: ServiceCosts;
  /**
   * Requests that other processes are expected to send to these engines before this process
   * sees them; 0 if it is alone.
   */
  readonly hiddenRequests?: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** The engine chosen for a request, with its index among the candidates. */
export interface ChosenEngine extends RankedEngine {
  readonly index: number;
}

/**
 * Chooses the engine with the lowest cost; undefined if there is none.
 *
 * Other processes see the same old reports. An engine that looks idle to all of them is
 * filled by the requests that nobody sees yet, up to the level at which it is as loaded as
 * the others. Requests up to that number prefer it; for the rest it counts as filled, so
 * that speed, adapters, caches and the rendezvous order decide.
 */
export function chooseEngine(
  request: EngineRequest,
  candidates: readonly EngineCandidate[],
  {costs = PRIOR_COSTS, hiddenRequests = 0, random}: EngineChoiceOptions,
): ChosenEngine | undefined {
  if (candidates.length === 0) {
    return undefined;
  }
  const ranks = rendezvousRanks(request.affinityKey, candidates);
  const costsMs = new Float64Array(candidates.length);
  for (let index = 0; index < candidates.length; index += 1) {
    const rank = ranks[index];
    costsMs[index] = estimateCostMs(request, candidates[index], rank, costs);
  }
  const cheapest = indexOfMinimum(costsMs);
  const index =
    hiddenRequests > 0
      ? spreadOver(candidates, costsMs, cheapest, {
          costs,
          hiddenRequests,
          random,
        })
      : cheapest;
  const chosen = candidates[index];
  return {...estimate(request, chosen, ranks[index], costs), index};
}

/** Index of the engine to use if others are expected to use the cheapest one too. */
function spreadOver(
  candidates: readonly EngineCandidate[],
  costsMs: Float64Array,
  cheapest: number,
  {costs, hiddenRequests, random}: Required<EngineChoiceOptions>,
): number {
  const commonMs = new Float64Array(candidates.length);
  for (let index = 0; index < candidates.length; index += 1) {
    commonMs[index] = estimateCommonMs(candidates[index], costs);
  }
  const requestMs = costs.meanPromptTokens / costs.prefillTokensPerMs;
  const {levelMs, preferredShare} = levelOf(
    commonMs,
    hiddenRequests,
    requestMs,
  );
  for (let index = 0; index < candidates.length; index += 1) {
    costsMs[index] += Math.max(0, levelMs - commonMs[index]);
  }
  const filled = indexOfMinimum(costsMs);
  return filled === cheapest || random() < preferredShare ? cheapest : filled;
}

function indexOfMinimum(values: Float64Array): number {
  let best = 0;
  for (let index = 1; index < values.length; index += 1) {
    if (values[index] < values[best]) {
      best = index;
    }
  }
  return best;
}
