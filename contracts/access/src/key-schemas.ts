import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

const DIGEST_SCHEMA = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex');

/** A file of operators' tokens. */
export const OPERATOR_TOKENS_SCHEMA = z.strictObject({
  tokens: z.array(
    z.strictObject({
      /** Name that the operator's changes carry. */
      name: z.string().min(1).max(128),
      role: z.enum(['viewer', 'operator']),
      sha256: DIGEST_SCHEMA,
    }),
  ),
});

/** A file of operators' tokens. */
export type OperatorTokens = z.infer<typeof OPERATOR_TOKENS_SCHEMA>;

/** A file of callers' keys. */
export const CALLER_KEYS_SCHEMA = z.strictObject({
  keys: z.array(z.strictObject({customer: NAME_SCHEMA, sha256: DIGEST_SCHEMA})),
});

/** A file of callers' keys. */
export type CallerKeys = z.infer<typeof CALLER_KEYS_SCHEMA>;
