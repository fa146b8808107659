export {
  openPartitionProxy,
  type PartitionProxy,
  type PartitionProxyOptions,
  type LinkState,
} from './partition-proxy.js';
export {createRedirectVariables} from './redirect-variables.js';
export {NarrowLink} from './narrow-link.js';
