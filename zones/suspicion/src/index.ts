export {
  SuspicionTable,
  type Evidence,
  type Judgement,
  type SuspicionOptions,
} from './suspicion-table.js';
