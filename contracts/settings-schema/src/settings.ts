import {z} from 'zod';

/** Every setting that a level of the tree may override, with its default. */
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
    .describe('Requests that may run at once per customer at one entry'),
  queueLimit: z
    .int()
    .min(0)
    .max(100_000)
    .default(1_024)
    .describe('Requests that may wait for admission at one entry'),
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
    .describe('Whether a request may be run again after an unclear end'),
  maxAttempts: z
    .int()
    .min(1)
    .max(10)
    .default(3)
    .describe('Attempts for one request, the first one included'),
  retryBudgetRatio: z
    .number()
    .min(0)
    .max(1)
    .default(0.2)
    .describe('Retries as a share of requests'),
  stallWeight: z
    .number()
    .min(0)
    .max(1)
    .default(0.5)
    .describe(
      'Weight of load stalls against batch efficiency: 1 is stalls only',
    ),
  prefixAffinity: z
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe(
      'Weight of cached prompt prefixes among targets that hold the adapter: how much fuller a batch may be for a whole cached prompt, as a share of its limit; 0 is off',
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
    .describe('Policy that chooses the adapter that leaves a slot'),
  loadOrder: z
    .enum(['first-come', 'least-harm'])
    .default('first-come')
    .describe('Policy that orders the loads that wait'),
  overloadAfterMs: z
    .int()
    .min(0)
    .max(3_600_000)
    .default(30_000)
    .describe(
      'How long too many loads have to wait until the weight store counts as overloaded, in milliseconds',
    ),
  overloadPatience: z
    .number()
    .min(0.05)
    .max(1)
    .default(0.4)
    .describe(
      'Share of its time to the first byte that a request may wait for its load while the weight store is overloaded',
    ),
  prefetch: z
    .boolean()
    .default(true)
    .describe(
      'Whether new versions of wanted adapters are loaded ahead of their first request, while the store is idle',
    ),
  claimRetentionMs: z
    .int()
    .min(1_000)
    .max(604_800_000)
    .default(86_400_000)
    .describe(
      'How long a result of a claimed request is kept, in milliseconds',
    ),
  whileIsolated: z
    .enum(['serve', 'refuse'])
    .default('serve')
    .describe(
      'What to do with repeatable requests while control is out of reach',
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

/** The settings in force at one level of the tree. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/** The settings that one level overrides; unknown names are findings. */
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

/** The settings in force where no level overrides anything. */
export const DEFAULT_SETTINGS: Settings = SETTINGS_SCHEMA.parse({});
