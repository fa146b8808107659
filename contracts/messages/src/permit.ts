import {z} from 'zod';

const MAX_LOADING = 16_384;

/** Asks for a permit to load an adapter from a weight store. */
export const PERMIT_REQUEST_SCHEMA = z.object({
  store: z.string(),
  agent: z.string(),
  /** Adapter and version, `adapter@version`. */
  model: z.string(),
  /** Requests that wait for the load; 0 for a prefetch. */
  waiters: z.int().min(0),
  /** Priority of the most urgent waiter; 0 is served first. */
  priority: z.int().min(0).max(9),
  /** Milliseconds that the oldest waiter has waited. */
  oldestWaitMs: z.number().min(0),
  /** How long from now on the load is of use to the most patient waiter, in milliseconds. */
  usefulMs: z.number().min(0).optional(),
  /** All that the agent loads or waits for, this load included; permits for anything else are free. */
  loading: z.array(z.string()).max(MAX_LOADING).optional(),
  /** How long the caller waits for an answer to this call, in milliseconds. */
  waitMs: z.int().min(0).max(60_000),
});

/** Asks for a permit to load. */
export type PermitRequest = z.infer<typeof PERMIT_REQUEST_SCHEMA>;

/** Answer to a permit request. */
export const PERMIT_ANSWER_SCHEMA = z.object({
  /** Identity of the permit; undefined when none came free in time. */
  permit: z.string().optional(),
  /** After this time, in milliseconds, the permit is free again by itself. */
  validMs: z.int(),
  /** Present where the load can't be in time: the requests that wait for it are to be refused at once. */
  refusal: z
    .object({
      reason: z.literal('too-late'),
      /** When it makes sense to ask again, in milliseconds. */
      retryAfterMs: z.number().min(0),
    })
    .optional(),
  /** How long a load that is asked for now would wait, in milliseconds. */
  predictedWaitMs: z.number().min(0).optional(),
});

/** Answer to a permit request. */
export type PermitAnswer = z.infer<typeof PERMIT_ANSWER_SCHEMA>;
