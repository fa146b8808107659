export {
  deployments,
  deploymentTree,
  type Deployment,
  type TargetGroup,
} from './deployments.js';
export {
  startSystem,
  type Listener,
  type Network,
  type System,
  type SystemKeys,
  type SystemOptions,
} from './system.js';
export {startChild, type Child} from './child.js';
export {freePorts} from './ports.js';
