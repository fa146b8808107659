export {
  MAX_SMALL_BYTES,
  MemoryBudget,
  REQUEST_OBJECTS,
  type BudgetOccupancy,
  type BudgetListener,
  type MemoryBudgetOptions,
  type Reservation,
} from './memory-budget.js';
export {
  connectionBytes,
  MemoryLimit,
  UNLIMITED,
  type ByteLimit,
  type MemoryLimitOptions,
} from './memory-limit.js';
export {registerBudgetMetrics} from './register-budget-metrics.js';
export {RefusalSpell} from './refusal-spell.js';
export {ReturnSchedule} from './return-schedule.js';
