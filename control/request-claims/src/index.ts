export {
  ClaimState,
  type ClaimHolder,
  type ClaimsSnapshot,
  type ClaimStateOptions,
} from './claim-state.js';
