import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

const DIGEST_SCHEMA = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex');

/** Contents of a file of operator tokens. */
export const OPERATOR_TOKENS_SCHEMA = z.strictObject({
  tokens: z.array(
    z.strictObject({
      /** Name of the operator, used as the author of changes. */
      name: z.string().min(1).max(128),
      role: z.enum(['viewer', 'operator']),
      sha256: DIGEST_SCHEMA,
    }),
  ),
});

/** Contents of a file of operator tokens. */
export type OperatorTokens = z.infer<typeof OPERATOR_TOKENS_SCHEMA>;

/** Contents of a file of caller keys. */
export const CALLER_KEYS_SCHEMA = z.strictObject({
  keys: z.array(z.strictObject({customer: NAME_SCHEMA, sha256: DIGEST_SCHEMA})),
});

/** Contents of a file of caller keys. */
export type CallerKeys = z.infer<typeof CALLER_KEYS_SCHEMA>;
