import {z} from 'zod';

/** A call: a caller sent a request. */
export const CALL_SCHEMA = z.object({
  line: z.literal('call'),
  /** Number of the call in the history. */
  call: z.int(),
  /** When it was sent, in milliseconds since the epoch; the same applies to all fields `at`, `from` and `to` of a history. */
  at: z.number(),
  /** Identity of the operation; resends have the same one, and the target records it. */
  operation: z.string(),
  /** Adapter and version that must run the request, or the path on the plain service. */
  model: z.string(),
  /** Whether the request may run more than once. */
  repeatable: z.boolean(),
  /** Idempotency key that the caller sent. */
  key: z.string().optional(),
  /** The complete text of the expected answer. */
  expected: z.string(),
});

/** The end of a call, as its caller saw it. */
export const ANSWER_SCHEMA = z.object({
  line: z.literal('answer'),
  call: z.int(),
  at: z.number(),
  /** Time from the call to the end, in milliseconds. */
  tookMs: z.number(),
  /** `whole`: complete HTTP message; `torn`: truncated after the headers; `none`: no headers. */
  ended: z.enum(['whole', 'torn', 'none']),
  status: z.int().optional(),
  /** Request id assigned by the entry. */
  request: z.string().optional(),
  /** Outcome that a refusal names: `not-run`, `unknown` or `failed`. */
  outcome: z.string().optional(),
  /** Error code that a refusal names. */
  reason: z.string().optional(),
  retryAfterSeconds: z.number().optional(),
  /** Whether the answer is the stored answer of an earlier run. */
  replayed: z.boolean(),
  text: z.string(),
  /** The adapter and version that the answer names. */
  model: z.string().optional(),
});

/** A target ran a request, according to the record of the target. */
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

/** A target was ordered to load or unload an adapter, according to the record of the target. */
export const ORDER_SCHEMA = z.object({
  line: z.literal('order'),
  target: z.string(),
  at: z.number(),
  order: z.enum(['load', 'unload']),
  model: z.string(),
  /** Whether the order evicted an adapter that a request was using. */
  evictedInUse: z.boolean(),
});

/** A target announced that it takes no new work. */
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

/** A revision of the settings took effect in a process. */
export const IN_FORCE_SCHEMA = z.object({
  line: z.literal('in-force'),
  process: z.string(),
  /** Number of the incarnation of the process, from 0; revisions are compared within one incarnation only. */
  life: z.int(),
  revision: z.int(),
  at: z.number(),
});

/** A process started, stopped, was frozen (SIGSTOP) or cut off from the network, or was resumed (`thawed`) or reconnected (`mended`). */
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

/** An entry retried a request at another target. */
export const RETRY_SCHEMA = z.object({
  line: z.literal('retry'),
  request: z.string(),
  at: z.number(),
});

/** A target lost what it recorded in a period. */
export const RECORD_LOST_SCHEMA = z.object({
  line: z.literal('record-lost'),
  target: z.string(),
  from: z.number(),
  to: z.number(),
});

/** The run ended. */
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
/** A call: a caller sent a request. */
export type Call = z.infer<typeof CALL_SCHEMA>;
/** The end of a call, as its caller saw it. */
export type Answer = z.infer<typeof ANSWER_SCHEMA>;
/** A target ran a request. */
export type Run = z.infer<typeof RUN_SCHEMA>;
