import {z} from 'zod';

const NAME = z.string().min(1).max(256);

/** What a target says about itself. */
export const TARGET_ANNOUNCEMENT_SCHEMA = z.object({
  /** Identity of the target. */
  id: NAME,
  /**
   * When the target's process started, in milliseconds since the epoch, or
   * `UNKNOWN_START`; a restart may keep the identity.
   */
  bornAt: z.int().min(0),
  /** Rises with each announcement of one start. */
  sequence: z.int().min(0),
  service: NAME,
  /** Where the target is reached, `host:port`. */
  address: z.string().regex(/^[^\s:]+:\d{1,5}$/),
  zone: NAME,
  /** Requests that the target runs at once. */
  slots: z.int().min(1),
  /** Whether the target is about to end and takes no new work. */
  leaving: z.boolean(),
  /** Models that the target holds. */
  models: z.array(NAME),
});

/** What a target says about itself. */
export type TargetAnnouncement = z.infer<typeof TARGET_ANNOUNCEMENT_SCHEMA>;

/** Start of a target that does not tell it. */
export const UNKNOWN_START_TIME = 0;

/** Whether two starts of one target may be the same. */
export function isSameIncarnation(one: number, other: number): boolean {
  return (
    one === other || one === UNKNOWN_START_TIME || other === UNKNOWN_START_TIME
  );
}

/** One start of a target. */
export const TARGET_INCARNATION_SCHEMA = TARGET_ANNOUNCEMENT_SCHEMA.pick({
  id: true,
  bornAt: true,
});

/** One start of a target. */
export type TargetIncarnation = z.infer<typeof TARGET_INCARNATION_SCHEMA>;

/** Whether an announcement is newer than what is known of the same target. */
export function isNewerAnnouncement(
  announcement: Pick<TargetAnnouncement, 'bornAt' | 'sequence'>,
  known: Pick<TargetAnnouncement, 'bornAt' | 'sequence'>,
): boolean {
  return announcement.bornAt === known.bornAt
    ? announcement.sequence > known.sequence
    : announcement.bornAt > known.bornAt;
}
