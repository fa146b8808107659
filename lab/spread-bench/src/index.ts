export {
  measureTree,
  sizedTree,
  type TreeCost,
  type TreeShape,
} from './tree-bench.js';
