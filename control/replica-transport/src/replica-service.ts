import {z} from 'zod';
import {
  MESSAGE_SCHEMA,
  REPLICA_ADDRESS_SCHEMA,
  REPLICA_URL_SCHEMA,
} from '@marigoldspur/consensus';

const MAX_MESSAGES_PER_DELIVERY = 16_384;
const MESSAGES_SCHEMA = z
  .array(MESSAGE_SCHEMA)
  .max(MAX_MESSAGES_PER_DELIVERY)
  .readonly();

/** A batch of messages from one replica to another. */
export const DELIVERY_SCHEMA = z.object({
  from: REPLICA_ADDRESS_SCHEMA.extend({url: REPLICA_URL_SCHEMA}),
  messages: MESSAGES_SCHEMA,
});

/** A batch of messages from one replica to another. */
export type Delivery = z.infer<typeof DELIVERY_SCHEMA>;

/** Identity of the replica at a URL. */
export const REPLICA_IDENTITY_SCHEMA = z.object({
  id: z.string().min(1).max(64),
  /** ID of the replica's group; empty if it belongs to none. */
  group: z.string().max(64),
  /**
   * Whether the replica has lost its data and must be added to the group that it belonged
   * to; a new group must not be formed with it.
   */
  isReplacement: z.boolean().optional(),
  /** URLs of the replicas it knows; absent if only replicas at configured URLs may join. */
  known: z.array(z.string().max(512)).max(256).optional(),
});

/** Identity and base URL of the replica that queries an identity. */
export const REQUESTER_IDENTITY_SCHEMA = REPLICA_IDENTITY_SCHEMA.pick({
  id: true,
  group: true,
}).extend({url: REPLICA_URL_SCHEMA});

/** Identity and base URL of the replica that queries an identity. */
export type RequesterIdentity = z.infer<typeof REQUESTER_IDENTITY_SCHEMA>;

/** Identity of the replica at a URL. */
export type ReplicaIdentity = z.infer<typeof REPLICA_IDENTITY_SCHEMA>;

/**
 * The answer to a delivery: messages for its sender, sent once the resulting writes are
 * synced.
 */
export const DELIVERY_ANSWER_SCHEMA = REPLICA_IDENTITY_SCHEMA.extend({
  messages: MESSAGES_SCHEMA,
});

/** The answer to a delivery. */
export type DeliveryAnswer = z.infer<typeof DELIVERY_ANSWER_SCHEMA>;

/** The operations that a replica offers to the other replicas of its group. */
export interface ReplicaService {
  /**
   * Returns the identity of this replica; `from` is the requester, if it identified
   * itself.
   */
  identity(from?: RequesterIdentity): ReplicaIdentity;
  /** Handles a delivery; resolves to the answer once the resulting writes are synced. */
  deliver(delivery: Delivery): Promise<DeliveryAnswer>;
}
