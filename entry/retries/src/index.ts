export {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
export {
  combineRefusals,
  isRetryAllowed,
  retryDelayMs,
  type RetryCase,
} from './retry-rules.js';
