import {z} from 'zod';

/** All settings that a level of the settings tree may override, with their defaults. */
export const SETTINGS_SCHEMA = z.object({
  priority: z
    .int()
    .min(0)
    .max(9)
    .default(5)
    .describe('Priority of requests, from 0 (served first) to 9 (served last)'),
  concurrency: z
    .int()
    .min(1)
    .max(100_000)
    .default(256)
    .describe(
      'Maximum number of concurrent requests per customer at one entry',
    ),
  queueLimit: z
    .int()
    .min(0)
    .max(100_000)
    .default(1_024)
    .describe(
      'Maximum number of requests per customer that wait for admission at one entry; at 0, requests beyond `concurrency` are refused immediately',
    ),
  queueDeadlineMs: z
    .int()
    .min(1)
    .max(600_000)
    .default(2_000)
    .describe(
      'Maximum time that a request waits for admission at an entry, in milliseconds',
    ),
  firstByteTimeoutMs: z
    .int()
    .min(10)
    .max(600_000)
    .default(30_000)
    .describe(
      'Maximum time from sending an attempt to the first byte of its response, in milliseconds; it includes the wait for the load of an adapter',
    ),
  requestTimeoutMs: z
    .int()
    .min(10)
    .max(3_600_000)
    .default(120_000)
    .describe(
      'Maximum duration of one request with all its attempts, in milliseconds',
    ),
  maxBodyBytes: z
    .int()
    .min(1_024)
    .max(67_108_864)
    .default(1_048_576)
    .describe('Maximum size of a request body, in bytes'),
  repeatable: z
    .boolean()
    .default(true)
    .describe(
      'Whether a request may be run again after an attempt with an unknown outcome',
    ),
  maxAttempts: z
    .int()
    .min(1)
    .max(10)
    .default(3)
    .describe(
      'Maximum number of attempts for one request, including the first one; at 1 there are no retries',
    ),
  retryBudgetRatio: z
    .number()
    .min(0)
    .max(1)
    .default(0.2)
    .describe(
      'Maximum number of retries at an entry as a share of its requests; 1 retry per second is allowed at any ratio above 0, at 0 there are no retries',
    ),
  stallWeight: z
    .number()
    .min(0)
    .max(1)
    .default(0.5)
    .describe(
      'Weight of load stalls relative to batch efficiency in the placement `demand-aware`; at 1 only stalls count, at 0 only batch efficiency',
    ),
  prefixAffinity: z
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe(
      'How much fuller the batch of a target may be, as a share of the batch limit, if the target has cached the whole prompt and holds the adapter; 0 disables the use of cached prompt prefixes',
    ),
  placement: z
    .enum([
      'random',
      'least-loaded',
      'hash-home',
      'resident-first',
      'demand-aware',
    ])
    .default('demand-aware')
    .describe('Policy that chooses the target of a request'),
  eviction: z
    .enum(['lru', 'decayed-frequency', 'expected-rate'])
    .default('expected-rate')
    .describe('Policy that chooses the adapter to evict from a slot'),
  loadOrder: z
    .enum(['first-come', 'least-harm'])
    .default('first-come')
    .describe(
      'Policy that orders the waiting loads of a weight store; the first service in the tree that loads from the store decides',
    ),
  overloadAfterMs: z
    .int()
    .min(0)
    .max(3_600_000)
    .default(30_000)
    .describe(
      'How long the load queue of a weight store must be too long before the store counts as overloaded, in milliseconds; at 0 it counts immediately. The first service in the tree that loads from the store decides',
    ),
  overloadPatience: z
    .number()
    .min(0.05)
    .max(1)
    .default(0.4)
    .describe(
      'Maximum share of its time to the first-byte timeout that a request may wait for its load while the weight store is overloaded; the first service in the tree that loads from the store decides',
    ),
  prefetch: z
    .boolean()
    .default(true)
    .describe(
      'Whether new versions of loaded adapters are loaded ahead of their first request while the weight store is idle',
    ),
  claimRetentionMs: z
    .int()
    .min(1_000)
    .max(604_800_000)
    .default(86_400_000)
    .describe(
      'How long the outcome of a request with an idempotency key is kept after its end, in milliseconds',
    ),
  whileIsolated: z
    .enum(['serve', 'refuse'])
    .default('serve')
    .describe(
      'Whether an isolated entry serves or refuses repeatable requests; it always refuses unrepeatable ones, while requests with an idempotency key need control anyway',
    ),
  isolationBoundMs: z
    .int()
    .min(500)
    .max(3_600_000)
    .default(10_000)
    .describe(
      'How long control may leave the settings unconfirmed before an entry counts as isolated, in milliseconds',
    ),
});

/** The effective settings at one level of the tree. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/** The settings that one level overrides; unknown names are rejected. */
export const OVERRIDES_SCHEMA = z.strictObject(
  Object.fromEntries(
    Object.entries(SETTINGS_SCHEMA.shape).map(([name, schema]) => [
      name,
      schema.unwrap().optional(),
    ]),
  ) as {
    [Name in keyof Settings]: z.ZodOptional<
      ReturnType<(typeof SETTINGS_SCHEMA.shape)[Name]['unwrap']>
    >;
  },
);

/** The settings that one level overrides. */
export type Overrides = z.infer<typeof OVERRIDES_SCHEMA>;

/** The default settings, which apply if no level overrides them. */
export const DEFAULT_SETTINGS: Settings = SETTINGS_SCHEMA.parse({});
