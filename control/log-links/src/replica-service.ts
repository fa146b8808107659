import {z} from 'zod';
import {MESSAGE_SCHEMA, REPLICA_ADDRESS_SCHEMA} from '@marigoldspur/consensus';

const MAX_MESSAGES = 16_384;
const MESSAGES_SCHEMA = z.array(MESSAGE_SCHEMA).max(MAX_MESSAGES).readonly();

/** Messages from one replica to another. */
export const DELIVERY_SCHEMA = z.object({
  from: REPLICA_ADDRESS_SCHEMA,
  messages: MESSAGES_SCHEMA,
});

/** Messages from one replica to another. */
export type Delivery = z.infer<typeof DELIVERY_SCHEMA>;

/** Who answers at a URL. */
export const REPLICA_IDENTITY_SCHEMA = z.object({
  id: z.string().min(1).max(64),
  /** The group that the replica belongs to; empty for none. */
  group: z.string().max(64),
  /** URLs of the other replicas that it knows; absent where all are configured. */
  known: z.array(z.string().max(512)).max(256).optional(),
});

/** Who asks for an identity, and where it is reached. */
export const REQUESTER_IDENTITY_SCHEMA = REPLICA_IDENTITY_SCHEMA.pick({
  id: true,
  group: true,
}).extend({url: z.string().min(1).max(512)});

/** Who asks for an identity, and where it is reached. */
export type RequesterIdentity = z.infer<typeof REQUESTER_IDENTITY_SCHEMA>;

/** Who answers at a URL. */
export type ReplicaIdentity = z.infer<typeof REPLICA_IDENTITY_SCHEMA>;

/** The answer to a delivery: messages for its sender, once all it asked is synced. */
export const DELIVERY_ANSWER_SCHEMA = REPLICA_IDENTITY_SCHEMA.extend({
  messages: MESSAGES_SCHEMA,
});

/** The answer to a delivery. */
export type DeliveryAnswer = z.infer<typeof DELIVERY_ANSWER_SCHEMA>;

/** What a replica does for the others of its group. */
export interface ReplicaService {
  /** Says who this replica is; `from` is the one that asks, where it says so. */
  identity(from?: RequesterIdentity): ReplicaIdentity;
  deliver(delivery: Delivery): Promise<DeliveryAnswer>;
}
