export {ClaimState, type ClaimsSnapshot} from './claim-state.js';
