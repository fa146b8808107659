import {z} from 'zod';

/** A response that is small enough to be stored for repeated requests. */
export const STORED_ANSWER_SCHEMA = z.object({
  status: z.int(),
  contentType: z.string(),
  /** Further headers that are part of the stored response. */
  headers: z
    .array(z.object({name: z.string(), value: z.string()}))
    .max(100)
    .optional(),
  /** Body, base64. */
  body: z.string(),
});

/** A response that is stored for repeated requests. */
export type StoredAnswer = z.infer<typeof STORED_ANSWER_SCHEMA>;

/** Claim of the exclusive right to run a request that must not run twice. */
export const CLAIM_SCHEMA = z.object({
  customer: z.string(),
  /** The caller's `Idempotency-Key`. */
  key: z.string().min(1).max(255),
  /** Digest of method, path and body. */
  digest: z.string(),
  /** ID of the claiming request. */
  request: z.string(),
  /** Name of the claiming entry. */
  entry: z.string(),
  /** Boot ID of the claiming entry. */
  boot: z.string(),
  /** Time for which the claim is kept, in milliseconds. */
  retentionMs: z.int().min(1),
});

/** Claim of the exclusive right to run a request. */
export type Claim = z.infer<typeof CLAIM_SCHEMA>;

/** Outcome of a claim. */
export const CLAIM_OUTCOME_SCHEMA = z.discriminatedUnion('outcome', [
  /** Only the claimant may run the request. */
  z.object({outcome: z.literal('granted')}),
  /** Another request with the key is running. */
  z.object({outcome: z.literal('running'), request: z.string()}),
  /** The request has run; its response is included if it was stored. */
  z.object({
    outcome: z.literal('completed'),
    request: z.string(),
    answer: STORED_ANSWER_SCHEMA.optional(),
  }),
  /** The entry was lost after dispatch, so the request may have run and must not run again. */
  z.object({outcome: z.literal('unknown'), request: z.string()}),
  /** The key was used for a request with another digest. */
  z.object({outcome: z.literal('mismatch'), request: z.string()}),
  /** The same request released its claim before this call arrived. */
  z.object({outcome: z.literal('not-run'), request: z.string()}),
  /** No more keys can be stored; nothing was claimed. */
  z.object({outcome: z.literal('full'), retryAfterMs: z.int()}),
]);

/** Outcome of a claim. */
export type ClaimOutcome = z.infer<typeof CLAIM_OUTCOME_SCHEMA>;

/** Completion of a claim. The result `not-run` releases the key. */
export const COMPLETION_SCHEMA = z.object({
  customer: z.string(),
  key: z.string(),
  request: z.string(),
  result: z.enum(['completed', 'not-run', 'unknown']),
  answer: STORED_ANSWER_SCHEMA.optional(),
});

/** Completion of a claim. */
export type Completion = z.infer<typeof COMPLETION_SCHEMA>;
