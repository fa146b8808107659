import {z} from 'zod';

/** A caller sends a request. */
export const CALL_SCHEMA = z.object({
  line: z.literal('call'),
  /** Number of the call in the history. */
  call: z.int(),
  /** When it was sent, in milliseconds since the epoch, as all times of a history. */
  at: z.number(),
  /** What is asked for; a resend carries the same text, and the target's record shows it. */
  operation: z.string(),
  /** Adapter and version, or the path of a plain service, that has to run. */
  model: z.string(),
  /** False where the request may run once only. */
  repeatable: z.boolean(),
  key: z.string().optional(),
  /** The text of a whole answer. */
  expected: z.string(),
});

/** A caller sees the end of a call. */
export const ANSWER_SCHEMA = z.object({
  line: z.literal('answer'),
  call: z.int(),
  at: z.number(),
  /** Time from the call to the end, in milliseconds. */
  tookMs: z.number(),
  /** `whole` as HTTP counts it, `torn` after a head, `none` without a head. */
  ended: z.enum(['whole', 'torn', 'none']),
  status: z.int().optional(),
  /** Identity that the entry gave to the request. */
  request: z.string().optional(),
  outcome: z.string().optional(),
  reason: z.string().optional(),
  retryAfterSeconds: z.number().optional(),
  /** Whether the answer was kept from an earlier run. */
  replayed: z.boolean(),
  text: z.string(),
  /** The adapter and version that the answer names. */
  model: z.string().optional(),
});

/** A target ran a request, by the target's own record. */
export const RUN_SCHEMA = z.object({
  line: z.literal('run'),
  target: z.string(),
  request: z.string(),
  attempt: z.int(),
  model: z.string(),
  operation: z.string(),
  at: z.number(),
  end: z.enum(['running', 'whole', 'cancelled', 'failed']),
});

/** A target was ordered to load or to unload, by the target's own record. */
export const ORDER_SCHEMA = z.object({
  line: z.literal('order'),
  target: z.string(),
  at: z.number(),
  order: z.enum(['load', 'unload']),
  model: z.string(),
  /** Whether it took away an adapter that a request used. */
  evictedInUse: z.boolean(),
});

/** A target says that it takes no new work. */
export const LEAVING_SCHEMA = z.object({
  line: z.literal('leaving'),
  target: z.string(),
  at: z.number(),
});

/** Control accepted a revision of the settings. */
export const ACCEPTED_SCHEMA = z.object({
  line: z.literal('accepted'),
  revision: z.int(),
  at: z.number(),
});

/** A revision came into force in a process. */
export const IN_FORCE_SCHEMA = z.object({
  line: z.literal('in-force'),
  process: z.string(),
  /** Number of the process's life; each one begins anew. */
  life: z.int(),
  revision: z.int(),
  at: z.number(),
});

/** A process began or ended, or could not run or be reached for a time. */
export const PROCESS_SCHEMA = z.object({
  line: z.literal('process'),
  process: z.string(),
  state: z.enum(['started', 'stopped', 'frozen', 'thawed', 'cut', 'mended']),
  at: z.number(),
});

/** A fault began or was undone. */
export const FAULT_SCHEMA = z.object({
  line: z.literal('fault'),
  kind: z.string(),
  state: z.enum(['begun', 'undone']),
  at: z.number(),
});

/** An entry sent an attempt of a request to a target. */
export const ATTEMPT_SCHEMA = z.object({
  line: z.literal('attempt'),
  request: z.string(),
  attempt: z.int(),
  target: z.string(),
  at: z.number(),
});

/** An entry tried a request again at another target. */
export const RETRY_SCHEMA = z.object({
  line: z.literal('retry'),
  request: z.string(),
  at: z.number(),
});

/** A target lost what it recorded in a time. */
export const RECORD_LOST_SCHEMA = z.object({
  line: z.literal('record-lost'),
  target: z.string(),
  from: z.number(),
  to: z.number(),
});

/** The run of the history ended. */
export const END_SCHEMA = z.object({line: z.literal('end'), at: z.number()});

/** One line of a history. */
export const HISTORY_LINE_SCHEMA = z.discriminatedUnion('line', [
  CALL_SCHEMA,
  ANSWER_SCHEMA,
  RUN_SCHEMA,
  ORDER_SCHEMA,
  LEAVING_SCHEMA,
  ACCEPTED_SCHEMA,
  IN_FORCE_SCHEMA,
  PROCESS_SCHEMA,
  FAULT_SCHEMA,
  ATTEMPT_SCHEMA,
  RETRY_SCHEMA,
  RECORD_LOST_SCHEMA,
  END_SCHEMA,
]);

/** One line of a history. */
export type HistoryLine = z.infer<typeof HISTORY_LINE_SCHEMA>;
/** A caller sends a request. */
export type Call = z.infer<typeof CALL_SCHEMA>;
/** A caller sees the end of a call. */
export type Answer = z.infer<typeof ANSWER_SCHEMA>;
/** A target ran a request. */
export type Run = z.infer<typeof RUN_SCHEMA>;
