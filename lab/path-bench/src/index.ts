export {callRound, type Round, type RoundOptions} from './call-round.js';
export {processCost, type ProcessCost} from './process-cost.js';
