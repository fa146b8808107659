export {measureHeartbeats, type HeartbeatCost} from './heartbeat-bench.js';
export {measureClaims, type ClaimCost} from './claims-bench.js';
export {measureFollowers, type FollowerCost} from './follower-bench.js';
export {
  measureTree,
  buildTree,
  type TreeCost,
  type TreeShape,
} from './tree-bench.js';
