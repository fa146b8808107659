export {
  weighEngines,
  type EngineCandidate,
  type EngineNeed,
  type WeighedEngine,
} from './engine-choice.js';
export {PromptMemory, type PromptPart} from './prompt-memory.js';
