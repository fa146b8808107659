export {
  hasAccess,
  type AccessLevel,
  type CallContext,
  type Caller,
} from './caller.js';
export {secretDigest} from './secret-digest.js';
export {
  CALLER_KEYS_SCHEMA,
  OPERATOR_TOKENS_SCHEMA,
  type CallerKeys,
  type OperatorTokens,
} from './key-schemas.js';
export {requireAccess} from './require-access.js';
