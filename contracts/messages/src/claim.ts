import {z} from 'zod';

/** An answer small enough to be kept for a resend. */
export const STORED_ANSWER_SCHEMA = z.object({
  status: z.int(),
  contentType: z.string(),
  /** Further headers that the caller gets again. */
  headers: z
    .array(z.object({name: z.string(), value: z.string()}))
    .max(100)
    .optional(),
  /** Body, base64. */
  body: z.string(),
});

/** An answer kept for a resend. */
export type StoredAnswer = z.infer<typeof STORED_ANSWER_SCHEMA>;

/** Asks for the sole right to run a request that may not be repeated. */
export const CLAIM_SCHEMA = z.object({
  customer: z.string(),
  /** The caller's `Idempotency-Key`. */
  key: z.string().min(1).max(255),
  /** Digest of method, path and body. */
  digest: z.string(),
  /** Identity of the request that claims. */
  request: z.string(),
  /** Entry that claims, and its boot. */
  entry: z.string(),
  boot: z.string(),
  /** How long the claim is kept, in milliseconds. */
  retentionMs: z.int().min(1),
});

/** Asks for the sole right to run a request. */
export type Claim = z.infer<typeof CLAIM_SCHEMA>;

/** What became of a claim. */
export const CLAIM_OUTCOME_SCHEMA = z.discriminatedUnion('outcome', [
  /** The claimer alone may run the request. */
  z.object({outcome: z.literal('granted')}),
  /** Another request with the key runs now. */
  z.object({outcome: z.literal('running'), request: z.string()}),
  /** The request ran; its answer is given where it was kept. */
  z.object({
    outcome: z.literal('completed'),
    request: z.string(),
    answer: STORED_ANSWER_SCHEMA.optional(),
  }),
  /** The entry was lost after dispatch: the request may have run and is not repeated. */
  z.object({outcome: z.literal('unknown'), request: z.string()}),
  /** The key was used with another body. */
  z.object({outcome: z.literal('mismatch'), request: z.string()}),
  /** The same request gave its claim back before this call came. */
  z.object({outcome: z.literal('not-run'), request: z.string()}),
  /** No more keys can be kept; nothing was claimed. */
  z.object({outcome: z.literal('full'), retryAfterMs: z.int()}),
]);

/** What became of a claim. */
export type ClaimOutcome = z.infer<typeof CLAIM_OUTCOME_SCHEMA>;

/** Ends a claim. `not-run` frees the key again. */
export const COMPLETION_SCHEMA = z.object({
  customer: z.string(),
  key: z.string(),
  request: z.string(),
  result: z.enum(['completed', 'not-run', 'unknown']),
  answer: STORED_ANSWER_SCHEMA.optional(),
});

/** Ends a claim. */
export type Completion = z.infer<typeof COMPLETION_SCHEMA>;
