import {z} from 'zod';
import {CONFIGURATION_SCHEMA, ENTRY_SCHEMA} from '@marigoldspur/consensus';

/** What a replica must not forget. */
export const HARD_STATE_SCHEMA = z.object({
  group: z.string(),
  term: z.int().min(0),
  vote: z.string(),
});

/** One record of the log's files. */
export const RECORD_SCHEMA = z.discriminatedUnion('record', [
  /** Opens a segment: which it is, and the state that earlier segments held. */
  z.object({
    record: z.literal('segment'),
    sequence: z.int().min(1),
    state: HARD_STATE_SCHEMA,
    /** Index of the last entry before the segment. */
    lastIndex: z.int().min(0),
  }),
  z.object({record: z.literal('state'), state: HARD_STATE_SCHEMA}),
  /** Entries, which replace what stood at their indexes and after. */
  z.object({record: z.literal('entries'), entries: z.array(ENTRY_SCHEMA)}),
  /** All entries so far are dropped; the log goes on after a snapshot. */
  z.object({record: z.literal('reset'), index: z.int(), term: z.int()}),
]);

/** One record of the log's files. */
export type LogRecord = z.infer<typeof RECORD_SCHEMA>;

/** The first frame of a snapshot file; the second holds the data. */
export const SNAPSHOT_HEADER_SCHEMA = z.object({
  index: z.int().min(1),
  term: z.int().min(1),
  configuration: CONFIGURATION_SCHEMA,
});

/** The identity of a replica. */
export const IDENTITY_SCHEMA = z.object({id: z.string().min(1)});

/** Writes records as the payload of one frame. */
export function encodeRecords(records: readonly LogRecord[]): Uint8Array {
  return Buffer.from(JSON.stringify(records));
}

/** Reads the records of one frame; throws where they are malformed. */
export function decodeRecords(payload: Uint8Array): LogRecord[] {
  const text = Buffer.from(payload).toString('utf8');
  return z.array(RECORD_SCHEMA).parse(JSON.parse(text));
}
