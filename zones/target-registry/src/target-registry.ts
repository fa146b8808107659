import {
  isNewerAnnouncement,
  type TargetAnnouncement,
  type TargetIncarnation,
} from '@marigoldspur/deployment';

/** Options of a target registry. */
export interface TargetRegistryOptions {
  /** Time without an announcement after which a target counts as silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** Time for which an ended target is remembered, in milliseconds. */
  readonly endRetentionMs: number;
}

/**
 * Effect of an announcement; `late` if a newer announcement of the target, its end, or a
 * later target at its address is known.
 */
export type AnnouncementOutcome = 'changed' | 'unchanged' | 'late';

interface Row {
  announcement: TargetAnnouncement;
  heardAt: number;
}

interface EndedTarget {
  readonly incarnation: TargetIncarnation;
  readonly at: number;
}

/**
 * The announced targets. Announcements are ordered by the start time of the target's
 * process and, within one start, by their sequence number, so that a late announcement
 * is ignored.
 */
export class TargetRegistry {
  private readonly rows = new Map<string, Row>();
  private readonly ends = new Map<string, EndedTarget>();

  constructor(private readonly options: TargetRegistryOptions) {}

  /** Applies an announcement received at time `now`, in milliseconds. */
  announce(announcement: TargetAnnouncement, now: number): AnnouncementOutcome {
    const {id} = announcement;
    const end = this.ends.get(id);
    if (end !== undefined && end.incarnation.bornAt >= announcement.bornAt) {
      return 'late';
    }
    const known = this.rows.get(id);
    if (
      known !== undefined &&
      !isNewerAnnouncement(announcement, known.announcement)
    ) {
      return 'late';
    }
    if (this.hasLaterTargetAt(announcement)) {
      return 'late';
    }
    this.ends.delete(id);
    const agreed = withAgreedVersion(announcement, known?.announcement);
    this.rows.set(id, {announcement: agreed, heardAt: now});
    return known !== undefined && hasSameContent(agreed, known.announcement)
      ? 'unchanged'
      : 'changed';
  }

  /** Removes a target that ended at time `now`, in milliseconds, and returns it; undefined if it is unknown. */
  leave(id: string, now: number): TargetIncarnation | undefined {
    const known = this.rows.get(id);
    if (known === undefined) {
      return undefined;
    }
    const incarnation = {id, bornAt: known.announcement.bornAt};
    this.rows.delete(id);
    this.ends.set(id, {incarnation, at: now});
    return incarnation;
  }

  /** Removes and returns the targets that have been silent for too long at time `now`, in milliseconds. */
  removeSilent(now: number): TargetIncarnation[] {
    for (const [id, end] of this.ends) {
      if (now - end.at > this.options.endRetentionMs) {
        this.ends.delete(id);
      }
    }
    const silent = [...this.rows.values()].filter(
      row => now - row.heardAt > this.options.silentAfterMs,
    );
    return silent.map(({announcement: {id, bornAt}}) => {
      this.rows.delete(id);
      return {id, bornAt};
    });
  }

  /** Returns the newest announcement of a target; undefined if it is not known. */
  find(id: string): TargetAnnouncement | undefined {
    return this.rows.get(id)?.announcement;
  }

  /** Returns the newest announcement of each target. */
  targets(): TargetAnnouncement[] {
    return [...this.rows.values()].map(row => row.announcement);
  }

  /** Returns the ended targets that are still remembered. */
  ended(): TargetIncarnation[] {
    return [...this.ends.values()].map(end => end.incarnation);
  }

  /** Whether another target with the announced address started later. */
  private hasLaterTargetAt({id, address, bornAt}: TargetAnnouncement): boolean {
    return this.targets().some(
      other =>
        other.address === address && other.id !== id && other.bornAt > bornAt,
    );
  }
}

/** Drops the software version if an earlier announcement of the same process states another one. */
function withAgreedVersion(
  announcement: TargetAnnouncement,
  known: TargetAnnouncement | undefined,
): TargetAnnouncement {
  const isContradicted =
    known !== undefined &&
    known.bornAt === announcement.bornAt &&
    known.softwareVersion !== announcement.softwareVersion;
  return isContradicted
    ? {...announcement, softwareVersion: undefined}
    : announcement;
}

function hasSameContent(one: TargetAnnouncement, other: TargetAnnouncement) {
  return (
    JSON.stringify({...one, sequence: 0}) ===
    JSON.stringify({...other, sequence: 0})
  );
}
