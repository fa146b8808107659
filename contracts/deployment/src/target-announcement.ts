import {z} from 'zod';

const NAME_SCHEMA = z.string().min(1).max(256);
const MAX_PORT = 65_535;

/** ID of a target. Calls carry it in a header, so it may hold visible ASCII characters alone. */
export const TARGET_ID_SCHEMA = z
  .string()
  .max(256)
  .regex(/^[\x21-\x7e]+$/, 'must consist of visible ASCII characters');

/** Address of a process, `host:port`, to which a connection can be opened. */
export const ADDRESS_SCHEMA = z
  .string()
  .regex(/^[A-Za-z0-9._-]+:\d{1,5}$/, {
    error: 'must be HOST:PORT',
    abort: true,
  })
  .refine(isAddressable, 'must name a host and a port from 1 to 65535');

/** State that a target announces about itself. */
export const TARGET_ANNOUNCEMENT_SCHEMA = z.object({
  /** ID of the target. */
  id: TARGET_ID_SCHEMA,
  /**
   * Start of the target's process, in milliseconds since the epoch, or
   * `UNKNOWN_START_TIME`. A restarted target may keep its ID.
   */
  bornAt: z.int().min(0),
  /** Increases with each announcement of one incarnation. */
  sequence: z.int().min(0),
  service: NAME_SCHEMA,
  /** Address of the target, `host:port`. */
  address: ADDRESS_SCHEMA,
  zone: NAME_SCHEMA,
  /** Number of requests that the target runs concurrently. */
  slots: z.int().min(1),
  /** Whether the target is shutting down and takes no new work. */
  leaving: z.boolean(),
  /**
   * Version of the target's software; empty if it announces none, absent if it is not known
   * for certain.
   */
  softwareVersion: z.string().max(256).optional(),
  /** Models that the target holds. */
  models: z.array(NAME_SCHEMA),
});

/** State that a target announces about itself. */
export type TargetAnnouncement = z.infer<typeof TARGET_ANNOUNCEMENT_SCHEMA>;

/** Start time of a target that does not announce one. */
export const UNKNOWN_START_TIME = 0;

/** Returns whether two start times of one target may belong to the same incarnation. */
export function isSameIncarnation(a: number, b: number): boolean {
  return a === b || a === UNKNOWN_START_TIME || b === UNKNOWN_START_TIME;
}

/** Identifies one incarnation of a target, from one start of its process to the next. */
export const TARGET_INCARNATION_SCHEMA = TARGET_ANNOUNCEMENT_SCHEMA.pick({
  id: true,
  bornAt: true,
});

/** Identifies one incarnation of a target, from one start of its process to the next. */
export type TargetIncarnation = z.infer<typeof TARGET_INCARNATION_SCHEMA>;

/** Returns whether an announcement is newer than the known one of the same target. */
export function isNewerAnnouncement(
  announcement: Pick<TargetAnnouncement, 'bornAt' | 'sequence'>,
  known: Pick<TargetAnnouncement, 'bornAt' | 'sequence'>,
): boolean {
  return announcement.bornAt === known.bornAt
    ? announcement.sequence > known.sequence
    : announcement.bornAt > known.bornAt;
}

/** Whether an address can be part of a URL; `999.0.0.1`, for example, names no host. */
function isAddressable(address: string): boolean {
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  return port >= 1 && port <= MAX_PORT && URL.canParse(`http://${address}`);
}
