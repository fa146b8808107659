export {
  startEngineSystem,
  type EngineSystem,
  type EngineSystemOptions,
} from './engine-system.js';
export {
  sendAttempt,
  type AttemptAnswer,
  type AttemptToSend,
} from './send-attempt.js';
