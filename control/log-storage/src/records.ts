import {z} from 'zod';
import {CONFIGURATION_SCHEMA, ENTRY_SCHEMA} from '@marigoldspur/consensus';

/** State that must survive a restart. */
export const HARD_STATE_SCHEMA = z.object({
  group: z.string(),
  term: z.int().min(0),
  vote: z.string(),
});

/** A record in a segment file. */
export const RECORD_SCHEMA = z.discriminatedUnion('record', [
  /** Header of a segment: its sequence number and the hard state at its start. */
  z.object({
    record: z.literal('segment'),
    sequence: z.int().min(1),
    state: HARD_STATE_SCHEMA,
    /** Index of the last entry before the segment. */
    lastIndex: z.int().min(0),
  }),
  z.object({record: z.literal('state'), state: HARD_STATE_SCHEMA}),
  /** Entries, which replace all existing entries from the first index on. */
  z.object({record: z.literal('entries'), entries: z.array(ENTRY_SCHEMA)}),
  /** Drops all earlier entries; the log continues after a snapshot. */
  z.object({record: z.literal('reset'), index: z.int(), term: z.int()}),
]);

/** A record in a segment file. */
export type LogRecord = z.infer<typeof RECORD_SCHEMA>;

/** The first frame of a snapshot file; the second frame holds the data. */
export const SNAPSHOT_HEADER_SCHEMA = z.object({
  index: z.int().min(1),
  term: z.int().min(1),
  configuration: CONFIGURATION_SCHEMA,
});

/** Name of the identity file. */
export const IDENTITY_FILE = 'identity';

/** Content of the identity file. */
export const IDENTITY_SCHEMA = z.object({
  id: z.string().min(1),
  /** Whether damaged files were set aside before the ID was created. */
  isReplacement: z.boolean().optional(),
});

/** Encodes records as the payload of a frame. */
export function encodeRecords(records: readonly LogRecord[]): Uint8Array {
  return Buffer.from(JSON.stringify(records));
}

/** Decodes the records of a frame. Throws if they are malformed. */
export function decodeRecords(payload: Uint8Array): LogRecord[] {
  const text = Buffer.from(payload).toString('utf8');
  return z.array(RECORD_SCHEMA).parse(JSON.parse(text));
}
