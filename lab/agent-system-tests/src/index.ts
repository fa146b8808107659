export {
  startEngineSystem,
  type EngineSystem,
  type EngineSystemOptions,
  type ServerProcess,
} from './engine-system.js';
export {
  sendAttempt,
  type AttemptResponse,
  type AttemptOptions,
} from './send-attempt.js';
export {
  fetchRunRecords,
  sendChat,
  setFaults,
  startConversationSystem,
  type Chat,
  type ChatResponse,
  type ConversationSystemOptions,
  type Message,
} from './conversation-system.js';
