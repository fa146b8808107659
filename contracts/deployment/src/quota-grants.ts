import {z} from 'zod';

/** Path at which a replica of control grants entries units of tenants' quotas. */
export const QUOTA_GRANTS_PATH = '/quota-grants';

/** Maximum number of grants or returns in a message. */
export const MAX_QUOTA_GRANTS = 1_024;

/** Units of a tenant's quota. */
export const QUOTA_AMOUNT_SCHEMA = z.object({
  /** Name of the tenant. */
  tenant: z.string().min(1).max(256),
  /** Units: tokens or requests, as the tenant's quota counts. */
  amount: z.number().min(0),
});

/** Units of a tenant's quota. */
export type QuotaAmount = z.infer<typeof QUOTA_AMOUNT_SCHEMA>;

/** A requested grant. */
export const QUOTA_GRANT_REQUEST_SCHEMA = QUOTA_AMOUNT_SCHEMA.extend({
  /** Whether a part of the amount is of use, because other replicas may grant the rest. */
  isDivisible: z.boolean(),
});

/** A requested grant. */
export type QuotaGrantRequest = z.infer<typeof QUOTA_GRANT_REQUEST_SCHEMA>;

/** An entry's request for grants; it also returns granted units that were not used. */
export const QUOTA_REQUEST_SCHEMA = z.object({
  grants: z.array(QUOTA_GRANT_REQUEST_SCHEMA).max(MAX_QUOTA_GRANTS),
  returns: z.array(QUOTA_AMOUNT_SCHEMA).max(MAX_QUOTA_GRANTS),
});

/** An entry's request for grants; it also returns granted units that were not used. */
export type QuotaRequest = z.infer<typeof QUOTA_REQUEST_SCHEMA>;

/** Decision on one requested grant. */
export const QUOTA_DECISION_SCHEMA = z.object({
  /** Granted units: all, or a part if that is of use, or 0. */
  granted: z.number().min(0),
  /**
   * Expected time until there is room for what is missing, in milliseconds; 0 if nothing is, absent
   * if the replica does not know the tenant.
   */
  waitMs: z.number().min(0).optional(),
  /** Whether the amount exceeds what all replicas together hold at most. */
  isTooLarge: z.boolean().optional(),
});

/** Decision on one requested grant. */
export type QuotaDecision = z.infer<typeof QUOTA_DECISION_SCHEMA>;

/** Decisions on the requested grants, in their order. */
export const QUOTA_ANSWER_SCHEMA = z.object({
  grants: z.array(QUOTA_DECISION_SCHEMA).max(MAX_QUOTA_GRANTS),
});

/** Decisions on the requested grants, in their order. */
export type QuotaAnswer = z.infer<typeof QUOTA_ANSWER_SCHEMA>;
