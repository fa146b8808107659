export {
  DeploymentState,
  type DeploymentSnapshot,
  type ReplaceOutcome,
} from './deployment-state.js';
