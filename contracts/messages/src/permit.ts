import {z} from 'zod';

const MAX_LOADING_ADAPTERS = 16_384;

/** Request for a permit to load an adapter from a weight store. */
export const PERMIT_REQUEST_SCHEMA = z.object({
  /** Name of the weight store. */
  store: z.string(),
  /** Name of the requesting agent. */
  agent: z.string(),
  /** Adapter and version, `adapter@version`. */
  model: z.string(),
  /** Number of requests that wait for the load; 0 for a prefetch. */
  waiters: z.int().min(0),
  /** Priority of the most urgent waiter; 0 is served first. */
  priority: z.int().min(0).max(9),
  /** Time for which the oldest waiter has waited, in milliseconds. */
  oldestWaitMs: z.number().min(0),
  /** Time until the load is no longer of use to any waiter, in milliseconds. */
  usefulMs: z.number().min(0).optional(),
  /** All adapters that the agent loads or waits for, including this one. Its permits for all other adapters are released. */
  loading: z.array(z.string()).max(MAX_LOADING_ADAPTERS).optional(),
  /** Time for which the caller waits for an answer to this call, in milliseconds. */
  waitMs: z.int().min(0).max(60_000),
});

/** Request for a permit to load an adapter. */
export type PermitRequest = z.infer<typeof PERMIT_REQUEST_SCHEMA>;

/** Answer to a permit request. */
export const PERMIT_ANSWER_SCHEMA = z.object({
  /** ID of the permit; absent if none became free in time. */
  permit: z.string().optional(),
  /** Time after which the permit expires and is free again, in milliseconds. */
  validMs: z.int(),
  /** Present if the load cannot finish in time. The requests that wait for it should be refused immediately. */
  refusal: z
    .object({
      reason: z.literal('too-late'),
      /** Time after which a new request makes sense, in milliseconds. */
      retryAfterMs: z.number().min(0),
    })
    .optional(),
  /** Predicted wait of a load that is requested now, in milliseconds. */
  predictedWaitMs: z.number().min(0).optional(),
});

/** Answer to a permit request. */
export type PermitAnswer = z.infer<typeof PERMIT_ANSWER_SCHEMA>;
