import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';
import {LOAD_REPORT_SCHEMA} from './load-report.js';
import {MEMBER_SCHEMA} from './member.js';

/** Path at an entry that takes heartbeats of its zone, as lines of JSON over plain HTTP. */
export const HEARTBEAT_RELAY_PATH = '/relayed-heartbeat';
/** Path at control that takes single heartbeats, as JSON over plain HTTP. */
export const HEARTBEAT_PATH = '/heartbeat';
/** Path at control that takes batches of heartbeats, as lines of JSON over plain HTTP. */
export const HEARTBEAT_BATCH_PATH = '/heartbeats';

/** How control or a relay took a heartbeat. */
export const HEARTBEAT_RECEIPT_SCHEMA = z.object({
  /** How long the member lives without a further heartbeat, in milliseconds. */
  leaseMs: z.int().min(0),
  /** The latest settings revision that control knows. */
  revision: z.int().min(0),
  /**
   * Base URLs of the entries that gather the heartbeats of the zone; absent while they are
   * not known, and to a relay where they are those of the answer before.
   */
  relays: z.array(z.url()).optional(),
});

/** How control or a relay took a heartbeat. */
export type HeartbeatReceipt = z.infer<typeof HEARTBEAT_RECEIPT_SCHEMA>;

/** A heartbeat to a relay: the member and its load report, each only where it changed. */
export const RELAYED_HEARTBEAT_SCHEMA = z.object({
  id: NAME_SCHEMA,
  boot: z.string(),
  /** Which announcement of the member is the latest. */
  mark: z.int().min(0),
  /** Without a load report. */
  member: MEMBER_SCHEMA.optional(),
  load: LOAD_REPORT_SCHEMA.optional(),
});

/** A heartbeat to a relay. */
export type RelayedHeartbeat = z.infer<typeof RELAYED_HEARTBEAT_SCHEMA>;

/** What became of a heartbeat to a relay. */
export const RELAYED_ANSWER_SCHEMA = z.discriminatedUnion('outcome', [
  z.object({outcome: z.literal('taken'), receipt: HEARTBEAT_RECEIPT_SCHEMA}),
  /** The relay does not know this announcement: it has to be sent whole. */
  z.object({outcome: z.literal('unknown')}),
  /** Another agent holds the target under a newer number. */
  z.object({outcome: z.literal('fenced')}),
  /** Control answered, but there is no leader now. */
  z.object({outcome: z.literal('no-leader')}),
  /** The relay does not reach control. */
  z.object({outcome: z.literal('cut-off')}),
]);

/** What became of a heartbeat to a relay. */
export type RelayedAnswer = z.infer<typeof RELAYED_ANSWER_SCHEMA>;

/** What ties a batch of heartbeats to the answer that the relay got before. */
export const RELAY_STAMP_SCHEMA = z.object({
  /** Identity of the member table. */
  table: z.string(),
  /** Time of the answer on the clock of the leader, in milliseconds. */
  at: z.number(),
});

/** What ties a batch of heartbeats to the answer that the relay got before. */
export type RelayStamp = z.infer<typeof RELAY_STAMP_SCHEMA>;

/** The heartbeats that a relay gathered: all members of its earlier batches live, but for those named. */
export const HEARTBEAT_BATCH_SCHEMA = z.object({
  /** Name of the relay, its boot and its zone. */
  relay: NAME_SCHEMA,
  boot: z.string(),
  zone: NAME_SCHEMA,
  /** The latest stamp that the relay got; absent in its first batch. */
  stamp: RELAY_STAMP_SCHEMA.optional(),
  /** When the longest silent member was heard, after the stamp was received, in milliseconds. */
  heardMs: z.number(),
  /** Members that are new or changed. */
  announced: z.array(MEMBER_SCHEMA).default([]),
  /** Identities of members that the relay no longer hears. */
  silent: z.array(z.string()).default([]),
});

/** The heartbeats that a relay gathered. */
export type HeartbeatBatch = z.infer<typeof HEARTBEAT_BATCH_SCHEMA>;

/** What the leader of control says to a batch of heartbeats. */
export const BATCH_ANSWER_SCHEMA = z.object({
  /** False where the stamp is not the latest: nothing was taken, and all members have to be announced. */
  taken: z.boolean(),
  stamp: RELAY_STAMP_SCHEMA,
  receipt: HEARTBEAT_RECEIPT_SCHEMA,
  /** Members, with their boots, whose target another agent holds under a newer number. */
  fenced: z.array(z.object({id: z.string(), boot: z.string()})).default([]),
  /** Members that are no longer in the table and have to be announced. */
  missing: z.array(z.string()).default([]),
});

/** What the leader of control says to a batch of heartbeats. */
export type BatchAnswer = z.infer<typeof BATCH_ANSWER_SCHEMA>;

/** A message as it is sent: its lists that are empty are left out. */
export function omitEmptyLists<T extends object>(message: T): Partial<T> {
  const fields = Object.entries(message).filter(
    ([, value]) => !Array.isArray(value) || value.length > 0,
  );
  return Object.fromEntries(fields) as Partial<T>;
}
