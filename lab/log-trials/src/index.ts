export {
  ClaimLoad,
  findLostClaims,
  takeClaim,
  type ClaimLoadOptions,
  type ClaimRecord,
} from './claim-load.js';
export {
  ControlHostGroup,
  ControlHost,
  type ControlHostGroupOptions,
} from './control-host-group.js';
export {
  DISK_FAULT_VARIABLE,
  diskFaultNodeOptions,
  setDiskFault,
} from './disk-fault-file.js';
