export {
  chooseEngine,
  type ChosenEngine,
  type EngineChoiceOptions,
} from './choose-engine.js';
export {
  rankEngines,
  type EngineCandidate,
  type EngineRequest,
  type RankedEngine,
} from './rank-engines.js';
export {RecentAdapters} from './recent-adapters.js';
export {
  PromptCacheEstimator,
  type PromptPart,
} from './prompt-cache-estimator.js';
