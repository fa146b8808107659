import {z} from 'zod';

/** All settings that a level of the settings tree may override, with their defaults. */
export const SETTINGS_SCHEMA = z.object({
  priority: z
    .int()
    .min(0)
    .max(9)
    .default(5)
    .describe('Priority of requests; 0 is served first'),
  concurrency: z
    .int()
    .min(1)
    .max(100_000)
    .default(256)
    .describe(
      'Largest number of requests that run at once per customer at one entry',
    ),
  queueLimit: z
    .int()
    .min(0)
    .max(100_000)
    .default(1_024)
    .describe(
      'Largest number of requests that wait for admission at one entry',
    ),
  queueDeadlineMs: z
    .int()
    .min(1)
    .max(600_000)
    .default(2_000)
    .describe('Longest wait for admission, in milliseconds'),
  firstByteTimeoutMs: z
    .int()
    .min(10)
    .max(600_000)
    .default(30_000)
    .describe('Longest time to the first byte of an answer, in milliseconds'),
  requestTimeoutMs: z
    .int()
    .min(10)
    .max(3_600_000)
    .default(120_000)
    .describe('Longest time of one request, in milliseconds'),
  maxBodyBytes: z
    .int()
    .min(1_024)
    .max(67_108_864)
    .default(1_048_576)
    .describe('Largest body of a request, in bytes'),
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
      'Largest number of attempts for one request, including the first one',
    ),
  retryBudgetRatio: z
    .number()
    .min(0)
    .max(1)
    .default(0.2)
    .describe('Largest number of retries as a share of requests'),
  stallWeight: z
    .number()
    .min(0)
    .max(1)
    .default(0.5)
    .describe(
      'Weight of load stalls relative to batch efficiency; at 1 only stalls count',
    ),
  prefixAffinity: z
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe(
      'Weight of cached prompt prefixes in the choice among targets that hold the adapter: how much fuller the batch of a target that has cached the whole prompt may be, as a share of the batch limit; 0 disables it',
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
    .describe('Policy that orders the waiting loads'),
  overloadAfterMs: z
    .int()
    .min(0)
    .max(3_600_000)
    .default(30_000)
    .describe(
      'How long too many loads must wait before the weight store counts as overloaded, in milliseconds',
    ),
  overloadPatience: z
    .number()
    .min(0.05)
    .max(1)
    .default(0.4)
    .describe(
      'Share of its first-byte timeout that a request may wait for its load while the weight store is overloaded',
    ),
  prefetch: z
    .boolean()
    .default(true)
    .describe(
      'Whether new versions of adapters in demand are loaded ahead of their first request while the weight store is idle',
    ),
  claimRetentionMs: z
    .int()
    .min(1_000)
    .max(604_800_000)
    .default(86_400_000)
    .describe(
      'How long the result of a claimed request is kept, in milliseconds',
    ),
  whileIsolated: z
    .enum(['serve', 'refuse'])
    .default('serve')
    .describe(
      'What to do with repeatable requests while control is unreachable',
    ),
  isolationBoundMs: z
    .int()
    .min(500)
    .max(3_600_000)
    .default(10_000)
    .describe(
      'How long settings may be unconfirmed before the process counts as isolated, in milliseconds',
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
