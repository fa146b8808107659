export {askStart, type StartQuestion} from './ask-start.js';
export {StartConfirmer, type StartConfirmerOptions} from './start-confirmer.js';
