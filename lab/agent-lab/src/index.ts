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
export {
  runsOf,
  sendChat,
  setFaults,
  startConversationSystem,
  type Chat,
  type ChatAnswer,
  type ConversationSystemOptions,
  type Message,
} from './conversation-system.js';
