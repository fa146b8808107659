export {askStart, type StartQuestion} from './ask-start.js';
export {
  StartConfirmer,
  type RespondingStart,
  type StartConfirmerOptions,
} from './start-confirmer.js';
