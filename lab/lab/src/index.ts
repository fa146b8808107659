export {
  listDeployments,
  createDeploymentTree,
  type Deployment,
  type TargetGroup,
} from './deployments.js';
export {startSystem, type System} from './system.js';
export type {
  Listener,
  Network,
  SystemKeys,
  SystemOptions,
} from './system-options.js';
export {startChild, type Child} from './child.js';
export {readProgramOptions} from './program-options.js';
export {findFreePorts, PortAllocator} from './ports.js';
