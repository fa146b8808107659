export {
  ClaimLoad,
  findLostClaims,
  takeClaim,
  type ClaimLoadOptions,
  type ClaimRecord,
} from './claim-load.js';
export {
  ControlGroup,
  ControlHost,
  type ControlGroupOptions,
} from './control-group.js';
