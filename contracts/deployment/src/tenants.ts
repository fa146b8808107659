import {z} from 'zod';

const NAME_SCHEMA = z
  .string()
  .max(256)
  .regex(
    /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/,
    'must consist of printable ASCII characters, without spaces at its ends',
  );

/** Maximum use of targets by one tenant, over all entries together. */
export const QUOTA_SCHEMA = z.object({
  unit: z.enum(['tokens', 'requests']),
  /** Sustained rate, in units per second. */
  perSecond: z.number().positive(),
  /** Units that may be used at once beyond that rate. */
  burst: z.number().min(0),
  /** Units of a request that does not state its tokens. */
  defaultCost: z.number().min(0),
});

/** Maximum use of targets by one tenant, over all entries together. */
export type Quota = z.infer<typeof QUOTA_SCHEMA>;

/** A group of callers that share API keys, a priority and a quota. */
export const TENANT_SCHEMA = z.object({
  /** Name, which targets receive in a header. */
  name: NAME_SCHEMA,
  /** API keys. They are secrets and must not appear in logs, metrics or errors. */
  keys: z.array(z.string().min(1)),
  /** Priority that takes precedence over the one of the route; 0 is the most urgent. */
  priority: z.int().min(0).optional(),
  /** Absent if the tenant's use is not limited. */
  quota: QUOTA_SCHEMA.optional(),
});

/** A group of callers that share API keys, a priority and a quota. */
export type Tenant = z.infer<typeof TENANT_SCHEMA>;
