import {z} from 'zod';
import {CONFIGURATION_SCHEMA} from './configuration.js';
import {ENTRY_SCHEMA} from './entry.js';

const ENVELOPE = {
  /** The group that the sender belongs to. */
  group: z.string().max(64),
  from: z.string().max(64),
  /** The identity that the message is for; any other ignores it. */
  to: z.string().max(64),
  term: z.int().min(0),
};

const CANDIDACY = {
  lastIndex: z.int().min(0),
  lastTerm: z.int().min(0),
};

/** A message between two replicas. Any may be lost, repeated, delayed or reordered. */
export const MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  /** Asks whether a vote in `term` would be won, without starting that term. */
  z.object({...ENVELOPE, kind: z.literal('pre-vote'), ...CANDIDACY}),
  z.object({
    ...ENVELOPE,
    kind: z.literal('pre-vote-answer'),
    granted: z.boolean(),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('vote'),
    ...CANDIDACY,
    /** The leader itself asked for this election. */
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
    /** Round of contact; answers repeat it, which confirms reads. */
    round: z.int().min(0),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('append-answer'),
    matched: z.boolean(),
    /** The last index known to be equal and synced, or where to look for it. */
    index: z.int().min(0),
    round: z.int().min(0),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('snapshot-part'),
    index: z.int().min(1),
    snapshotTerm: z.int().min(1),
    configuration: CONFIGURATION_SCHEMA,
    /** Place of the part, in characters. */
    offset: z.int().min(0),
    /** Length of the whole, in characters. */
    total: z.int().min(0),
    data: z.string(),
    round: z.int().min(0),
  }),
  z.object({
    ...ENVELOPE,
    kind: z.literal('snapshot-answer'),
    index: z.int().min(1),
    /** Characters received without a gap. */
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
  /** Tells a caught-up voter to hold an election at once. */
  z.object({...ENVELOPE, kind: z.literal('hand-over')}),
]);

/** A message between two replicas. */
export type Message = z.infer<typeof MESSAGE_SCHEMA>;

/** A message of one kind. */
export type MessageOf<Kind extends Message['kind']> = Extract<
  Message,
  {kind: Kind}
>;

/** A message without its envelope. */
export type MessageBody = Message extends infer Each
  ? Each extends Message
    ? Omit<Each, keyof typeof ENVELOPE>
    : never
  : never;
