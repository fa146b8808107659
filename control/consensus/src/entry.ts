import {z} from 'zod';
import {CONFIGURATION_SCHEMA, type Configuration} from './configuration.js';

/** A log entry. */
export const ENTRY_SCHEMA = z.object({
  index: z.int().min(1),
  term: z.int().min(1),
  /** Size of the command as JSON, in bytes. */
  bytes: z.int().min(0),
  content: z.discriminatedUnion('kind', [
    /** Appended by a new leader as the first entry of its term. */
    z.object({kind: z.literal('no-op')}),
    z.object({kind: z.literal('command'), command: z.unknown()}),
    z.object({
      kind: z.literal('configuration'),
      configuration: CONFIGURATION_SCHEMA,
    }),
  ]),
});

/** A log entry. */
export type Entry = z.infer<typeof ENTRY_SCHEMA>;

/** A position in the log: the index and term of an entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/**
 * The last log position that a snapshot covers, and the configuration at that position.
 */
export interface SnapshotMetadata extends LogPosition {
  readonly configuration: Configuration;
}

/** The serialized state machine at a log position. */
export interface Snapshot extends SnapshotMetadata {
  readonly data: string;
}
