export {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
export {
  afterAttempts,
  mayRetry,
  retryPauseMs,
  type RetryCase,
} from './retry-rules.js';
