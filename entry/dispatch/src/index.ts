export {AttemptClient, type AttemptClientOptions} from './attempt-client.js';
export {FramedWholeness, type Wholeness} from './answer-end.js';
export type {Attempt, AttemptAnswer, RelayedAnswer} from './attempt.js';
export {answerHeaders, resumableFor} from './attempt-headers.js';
export {
  relayAnswer,
  type Relayed,
  type RelayEnd,
  type AnswerLink,
  type RelayOptions,
} from './relay-answer.js';
export {PrefixHints, type PrefixHintsOptions} from './prefix-hints.js';
export {promptPrefixes, type PromptPrefix} from './prompt-prefixes.js';
export {
  TargetDirectory,
  type ChosenDestination,
  type Destination,
  type PrefixHint,
} from './target-directory.js';
export {WholeEvents} from './whole-events.js';
export {TargetHealth, type TargetHealthOptions} from './target-health.js';
