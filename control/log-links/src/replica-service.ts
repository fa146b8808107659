import {z} from 'zod';
import {
  MESSAGE_SCHEMA,
  REPLICA_ADDRESS_SCHEMA,
  type Message,
} from '@marigoldspur/consensus';

const MAX_MESSAGES = 16_384;

/** Messages from one replica to another. */
export const DELIVERY_SCHEMA = z.object({
  from: REPLICA_ADDRESS_SCHEMA,
  messages: z.array(MESSAGE_SCHEMA).max(MAX_MESSAGES),
});

/** Messages from one replica to another. */
export type Delivery = z.infer<typeof DELIVERY_SCHEMA>;

/** Who answers at a URL. */
export interface ReplicaIdentity {
  readonly id: string;
  /** The group that the replica belongs to; empty for none. */
  readonly group: string;
}

/** The answer to a delivery: messages for its sender, once all it asked is synced. */
export interface DeliveryAnswer extends ReplicaIdentity {
  readonly messages: readonly Message[];
}

/** What a replica does for the others of its group. */
export interface ReplicaService {
  identity(): ReplicaIdentity;
  deliver(delivery: Delivery): Promise<DeliveryAnswer>;
}
