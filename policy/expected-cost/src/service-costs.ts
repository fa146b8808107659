import type {EngineCapacity} from '@marigoldspur/deployment';

/** Expected times to load what a call needs, in milliseconds. */
export interface LoadCosts {
  /** Time to fetch an adapter from the store. */
  readonly storeLoadMs: number;
  /** Cost to other loads: the store serves all engines, so other loads wait for this one. */
  readonly storeContentionMs: number;
  /** Time to load a base model. */
  readonly modelLoadMs: number;
}

/** What work costs at the usual target of a service. */
export interface ServiceCosts extends LoadCosts {
  /** Prompt tokens that an engine processes per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Time to the first event of a call without a prompt, in milliseconds. */
  readonly firstEventMs: number;
  /** Time that each running request adds to the first event, in milliseconds. */
  readonly runningRequestMs: number;
  /** Mean number of prompt tokens of a call that are not cached. */
  readonly meanPromptTokens: number;
  /** Usual pause between two events at an idle engine, in milliseconds; 0 if unknown. */
  readonly pauseMs: number;
  /** Time that each running request adds to such a pause, in milliseconds. */
  readonly pausePerRequestMs: number;
}

/**
 * Figures that count until a deployment states others or calls show them: the order of
 * magnitude of one accelerator pair with a large model.
 */
export const PRIOR_COSTS: ServiceCosts = {
  prefillTokensPerMs: 35,
  firstEventMs: 0,
  runningRequestMs: 2,
  meanPromptTokens: 4_200,
  pauseMs: 0,
  pausePerRequestMs: 2,
  storeLoadMs: 250,
  storeContentionMs: 150,
  modelLoadMs: 1_000,
};

const MS_PER_SECOND = 1_000;

/**
 * Load times of a model as the deployment states them, otherwise the prior ones. Of the times
 * to load a model, the one from the store counts: whether the engine has a copy is not known.
 */
export function statedLoadCosts(
  engine: EngineCapacity | undefined,
  modelName: string,
): Pick<LoadCosts, 'modelLoadMs' | 'storeContentionMs'> {
  const model = engine?.models.find(({name}) => name === modelName);
  const {diskLoadMs, loadMs, memoryLoadMs} = model ?? {};
  const {loadsPerSecond = 0} = engine ?? {};
  return {
    modelLoadMs:
      loadMs ?? diskLoadMs ?? memoryLoadMs ?? PRIOR_COSTS.modelLoadMs,
    storeContentionMs:
      loadsPerSecond > 0
        ? MS_PER_SECOND / loadsPerSecond
        : PRIOR_COSTS.storeContentionMs,
  };
}
