export {
  weighEngines,
  type EngineCandidate,
  type EngineNeed,
  type WeighedEngine,
} from './engine-choice.js';
export {RecentAdapters} from './recent-adapters.js';
export {PromptMemory, type PromptPart} from './prompt-memory.js';
