import {z} from 'zod';
import {TARGET_INCARNATION_SCHEMA} from './target-announcement.js';

/** Path at which a replica of control accepts the request limits that targets state. */
export const REQUEST_LIMITS_PATH = '/request-limits';
/** Path at which a replica of control grants permits to send a call to a target with a limit. */
export const REQUEST_PERMITS_PATH = '/request-permits';

/** Maximum number of stated limits in a message. */
export const MAX_STATED_LIMITS = 4_096;

/** The limit that a target stated last in a response. */
export const STATED_LIMIT_SCHEMA = TARGET_INCARNATION_SCHEMA.extend({
  /** Requests per second that the target takes from all entries together; absent if it has no limit any more. */
  perSecond: z.number().min(0).optional(),
  /** Time since it stated so, in milliseconds. */
  ageMs: z.number().min(0),
});

/** The limit that a target stated last in a response. */
export type TargetLimit = z.infer<typeof STATED_LIMIT_SCHEMA>;

/** Limits that targets stated. */
export const REQUEST_LIMITS_SCHEMA = z.object({
  limits: z.array(STATED_LIMIT_SCHEMA).max(MAX_STATED_LIMITS),
});

/** Request for a permit to send one call to a target with a limit. */
export const PERMIT_REQUEST_SCHEMA = z.object({
  limit: STATED_LIMIT_SCHEMA,
  /** Priority of the call; 0 is the most urgent. */
  priority: z.int().min(0),
  /** Maximum time that the entry waits for the permit, in milliseconds. */
  maxWaitMs: z.number().min(0),
  /** Whether the replica stands in for another one, which may be granting permits to other entries. */
  isStandIn: z.boolean(),
});

/** Request for a permit to send one call to a target with a limit. */
export type PermitRequest = z.infer<typeof PERMIT_REQUEST_SCHEMA>;

/** Answer to a request for a permit. */
export const PERMIT_ANSWER_SCHEMA = z.object({
  isGranted: z.boolean(),
  /** Expected time until a permit of this priority is free, in milliseconds; 0 if it is granted. */
  waitMs: z.number().min(0),
});

/** Answer to a request for a permit. */
export type PermitAnswer = z.infer<typeof PERMIT_ANSWER_SCHEMA>;
