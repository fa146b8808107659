import {z} from 'zod';
import {CONFIGURATION_SCHEMA, type Configuration} from './configuration.js';

/** One entry of the log. */
export const ENTRY_SCHEMA = z.object({
  index: z.int().min(1),
  term: z.int().min(1),
  /** Size of the command as JSON, in bytes. */
  bytes: z.int().min(0),
  content: z.discriminatedUnion('kind', [
    /** Opens the term of a leader. */
    z.object({kind: z.literal('no-op')}),
    z.object({kind: z.literal('command'), command: z.unknown()}),
    z.object({
      kind: z.literal('configuration'),
      configuration: CONFIGURATION_SCHEMA,
    }),
  ]),
});

/** One entry of the log. */
export type Entry = z.infer<typeof ENTRY_SCHEMA>;

/** A place in the log: an index and the term of its entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** The place that a snapshot ends at, and the configuration there. */
export interface SnapshotMetadata extends LogPosition {
  readonly configuration: Configuration;
}

/** The state machine's content at a place of the log. */
export interface Snapshot extends SnapshotMetadata {
  readonly data: string;
}
