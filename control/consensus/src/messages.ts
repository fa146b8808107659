import {z} from 'zod';
import {CONFIGURATION_SCHEMA} from './configuration.js';
import {ENTRY_SCHEMA} from './entry.js';

/** Fields that all messages have. */
const ENVELOPE = {
  /** ID of the sender's group. */
  group: z.string().max(64),
  from: z.string().max(64),
  /** ID of the receiver; a replica with another ID ignores the message. */
  to: z.string().max(64),
  term: z.int().min(0),
};

/** The last log position of a candidate. */
const CANDIDATE_LOG = {
  lastIndex: z.int().min(0),
  lastTerm: z.int().min(0),
};

/**
 * A message between two replicas. Messages may be lost, duplicated, delayed or
 * reordered.
 */
export const MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  /**
   * Asks whether the sender would win an election in `term`, without starting that
   * term.
   */
  z.object({...ENVELOPE, kind: z.literal('pre-vote'), ...CANDIDATE_LOG}),
  z.object({
    ...ENVELOPE,
    kind: z.literal('pre-vote-answer'),
    granted: z.boolean(),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('vote'),
    ...CANDIDATE_LOG,
    /** Whether the leader requested this election to transfer leadership. */
    handOver: z.boolean(),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('vote-answer'),
    granted: z.boolean(),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('append'),
    previousIndex: z.int().min(0),
    previousTerm: z.int().min(0),
    entries: z.array(ENTRY_SCHEMA),
    commitIndex: z.int().min(0),
    /** Heartbeat round of the leader. Answers echo it, which confirms reads. */
    round: z.int().min(0),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('append-answer'),
    matched: z.boolean(),
    /**
     * If matched, the last matching and synced index; otherwise the index to retry
     * from.
     */
    index: z.int().min(0),
    round: z.int().min(0),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('snapshot-part'),
    index: z.int().min(1),
    snapshotTerm: z.int().min(1),
    configuration: CONFIGURATION_SCHEMA,
    /** Offset of this part in the snapshot data, in characters. */
    offset: z.int().min(0),
    /** Length of the complete snapshot data, in characters. */
    total: z.int().min(0),
    data: z.string(),
    round: z.int().min(0),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('snapshot-answer'),
    index: z.int().min(1),
    /** Number of contiguous characters received. */
    received: z.int().min(0),
    round: z.int().min(0),
  }),
  z.object({...ENVELOPE, kind: z.literal('read'), key: z.string().max(64)}),
  z.object({
    ...ENVELOPE,
    kind: z.literal('read-answer'),
    key: z.string().max(64),
    index: z.int().min(0),
  }),
  /** Tells a caught-up voter to start an election immediately. */
  z.object({...ENVELOPE, kind: z.literal('hand-over')}),
]);

/** A message between two replicas. */
export type Message = z.infer<typeof MESSAGE_SCHEMA>;

/** A message of a given kind. */
export type MessageOf<Kind extends Message['kind']> = Extract<
  Message,
  {kind: Kind}
>;

/** A message without its envelope fields. */
export type MessageBody = Message extends infer Member
  ? Member extends Message
    ? Omit<Member, keyof typeof ENVELOPE>
    : never
  : never;
