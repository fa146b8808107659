import {z} from 'zod';

/** One recorded event, as stored, logged and sent to operators. */
export const EVENT_SCHEMA = z.object({
  /** Number of the kind in the catalogue. */
  number: z.int(),
  /** Name of the kind in the catalogue. */
  name: z.string(),
  /** Hybrid logical clock: milliseconds since the epoch. */
  time: z.number(),
  /** Hybrid logical clock: order within one millisecond. */
  tick: z.int(),
  /** Name of the process that recorded the event. */
  process: z.string(),
  /** Sequence number of the event within its process. */
  sequence: z.int(),
  /** ID of the request that the event belongs to, if any. */
  request: z.string().optional(),
  /** Further details, by name. */
  details: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** One recorded event. */
export type Event = z.infer<typeof EVENT_SCHEMA>;
