import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';
import {LOAD_REPORT_SCHEMA} from './load-report.js';
import {MEMBER_SCHEMA} from './member.js';

/**
 * Path at which a relay accepts heartbeats, as JSON lines over plain HTTP. A relay is an entry
 * that gathers the heartbeats of its zone and sends them to control in batches.
 */
export const HEARTBEAT_RELAY_PATH = '/relayed-heartbeat';
/** Path at which control accepts single heartbeats, as JSON over plain HTTP. */
export const HEARTBEAT_PATH = '/heartbeat';
/** Path at which control accepts batches of heartbeats, as JSON lines over plain HTTP. */
export const HEARTBEAT_BATCH_PATH = '/heartbeats';

/** Receipt for a heartbeat, from control or a relay. */
export const HEARTBEAT_RECEIPT_SCHEMA = z.object({
  /** Time after which the member expires without a further heartbeat, in milliseconds. */
  leaseMs: z.int().min(0),
  /** The latest settings revision that control knows. */
  revision: z.int().min(0),
  /**
   * Base URLs of the entries that relay the heartbeats of the zone. Absent while they are
   * unknown, and in an answer to a relay if they are the same as in its previous answer.
   */
  relays: z.array(z.url()).optional(),
});

/** Receipt for a heartbeat, from control or a relay. */
export type HeartbeatReceipt = z.infer<typeof HEARTBEAT_RECEIPT_SCHEMA>;

/** A heartbeat to a relay, with the member and its load report only if they have changed. */
export const RELAYED_HEARTBEAT_SCHEMA = z.object({
  id: NAME_SCHEMA,
  /** Boot ID of the member. */
  boot: z.string(),
  /** Number of the member's latest announcement. */
  mark: z.int().min(0),
  /** The member without its load report. */
  member: MEMBER_SCHEMA.optional(),
  load: LOAD_REPORT_SCHEMA.optional(),
});

/** A heartbeat to a relay. */
export type RelayedHeartbeat = z.infer<typeof RELAYED_HEARTBEAT_SCHEMA>;

/** Answer of a relay to a heartbeat. */
export const RELAYED_ANSWER_SCHEMA = z.discriminatedUnion('outcome', [
  z.object({outcome: z.literal('taken'), receipt: HEARTBEAT_RECEIPT_SCHEMA}),
  /** The relay does not know this announcement, which must be sent in full. */
  z.object({outcome: z.literal('unknown')}),
  /** Another agent holds the target with a newer fencing number. */
  z.object({outcome: z.literal('fenced')}),
  /** Control answered, but has no leader at present. */
  z.object({outcome: z.literal('no-leader')}),
  /** The relay cannot reach control. */
  z.object({outcome: z.literal('cut-off')}),
]);

/** Answer of a relay to a heartbeat. */
export type RelayedAnswer = z.infer<typeof RELAYED_ANSWER_SCHEMA>;

/** Identifies the previous answer to a relay, which its next batch refers to. */
export const RELAY_STAMP_SCHEMA = z.object({
  /** ID of the member table. */
  table: z.string(),
  /** Time of the answer on the leader's clock, in milliseconds. */
  at: z.number(),
});

/** Identifies the previous answer to a relay, which its next batch refers to. */
export type RelayStamp = z.infer<typeof RELAY_STAMP_SCHEMA>;

/** The heartbeats that a relay gathered. All members of its earlier batches are alive except those in `silent`. */
export const HEARTBEAT_BATCH_SCHEMA = z.object({
  /** Name of the relay. */
  relay: NAME_SCHEMA,
  /** Boot ID of the relay. */
  boot: z.string(),
  /** Zone of the relay. */
  zone: NAME_SCHEMA,
  /** The latest stamp that the relay received; absent in its first batch. */
  stamp: RELAY_STAMP_SCHEMA.optional(),
  /**
   * Time at which the relay last heard from the member that has been silent longest, in
   * milliseconds after the relay received the stamp.
   */
  heardMs: z.number(),
  /** Members that are new or changed. */
  announced: z.array(MEMBER_SCHEMA).default([]),
  /** IDs of members whose heartbeats no longer arrive. */
  silent: z.array(z.string()).default([]),
});

/** The heartbeats that a relay gathered. */
export type HeartbeatBatch = z.infer<typeof HEARTBEAT_BATCH_SCHEMA>;

/** Answer of control's leader to a batch of heartbeats. */
export const BATCH_ANSWER_SCHEMA = z.object({
  /** False if the stamp is not the latest one: nothing was accepted, and the relay must announce all members. */
  taken: z.boolean(),
  stamp: RELAY_STAMP_SCHEMA,
  receipt: HEARTBEAT_RECEIPT_SCHEMA,
  /** Members, with their boot IDs, whose target another agent holds with a newer fencing number. */
  fenced: z.array(z.object({id: z.string(), boot: z.string()})).default([]),
  /** IDs of members that are no longer in the table and must be announced again. */
  missing: z.array(z.string()).default([]),
});

/** Answer of control's leader to a batch of heartbeats. */
export type BatchAnswer = z.infer<typeof BATCH_ANSWER_SCHEMA>;

/** Returns a copy of a message without its empty lists, as it is sent. */
export function omitEmptyLists<T extends object>(message: T): Partial<T> {
  const fields = Object.entries(message).filter(
    ([, value]) => !Array.isArray(value) || value.length > 0,
  );
  return Object.fromEntries(fields) as Partial<T>;
}
