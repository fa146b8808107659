export {
  AttemptClient,
  type Attempt,
  type AttemptAnswer,
} from './attempt-client.js';
export {collectAnswer, streamAnswer, type StreamEnd} from './relay-answer.js';
export {TargetDirectory, type Destination} from './target-directory.js';
