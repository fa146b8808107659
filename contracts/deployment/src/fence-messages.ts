import {z} from 'zod';

/** Path at which a replica of control grants fencing numbers. */
export const FENCES_PATH = '/fences';

/** Request for a fencing number that is higher than any granted for the target before. */
export const FENCE_REQUEST_SCHEMA = z.object({
  /** Name of the target. */
  target: z.string().min(1).max(256),
});

/** Answer to a request for a fencing number. */
export const FENCE_ANSWER_SCHEMA = z.object({fence: z.int().min(0)});

/** Answer to a request for a fencing number. */
export type FenceAnswer = z.infer<typeof FENCE_ANSWER_SCHEMA>;
