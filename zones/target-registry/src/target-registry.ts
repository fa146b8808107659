import {
  isNewerAnnouncement,
  UNKNOWN_START_TIME,
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

/** Maximum number of targets that are remembered because they said that they leave. */
const MAX_LEAVES = 4_096;
/** Maximum number of ended targets that are remembered although they were not known. */
const MAX_UNKNOWN_ENDS = 4_096;

/**
 * The announced targets. Announcements are ordered by the start time of the target's
 * process and, within one start, by their sequence number, so that a late announcement
 * is ignored.
 */
export class TargetRegistry {
  private readonly rows = new Map<string, Row>();
  private readonly ends = new Map<string, EndedTarget>();
  /** IDs of ended targets that were not known here. */
  private readonly unknownEnds = new Set<string>();
  /** Last start of each target that said in an answer that it leaves, by ID. */
  private readonly leaves = new Map<string, number>();

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
    this.unknownEnds.delete(id);
    const agreed = withAgreedVersion(announcement, known?.announcement);
    const leaving = agreed.leaving || this.saysItLeaves(agreed);
    const current = {...agreed, leaving};
    this.rows.set(id, {announcement: current, heardAt: now});
    return known !== undefined && hasSameContent(current, known.announcement)
      ? 'unchanged'
      : 'changed';
  }

  /**
   * Records that a target said in an answer that it leaves, which its announcements do not take
   * back. Returns its announcement if that has changed.
   */
  recordLeave({bornAt, id}: TargetIncarnation): TargetAnnouncement | undefined {
    const lastLeft = this.leaves.get(id) ?? -1;
    this.leaves.delete(id);
    this.leaves.set(id, Math.max(lastLeft, bornAt));
    for (const oldest of this.leaves.keys()) {
      if (this.leaves.size <= MAX_LEAVES) {
        break;
      }
      this.leaves.delete(oldest);
    }
    const row = this.rows.get(id);
    if (
      row === undefined ||
      row.announcement.leaving ||
      !this.saysItLeaves(row.announcement)
    ) {
      return undefined;
    }
    row.announcement = {...row.announcement, leaving: true};
    return row.announcement;
  }

  private saysItLeaves({bornAt, id}: TargetIncarnation): boolean {
    return bornAt <= (this.leaves.get(id) ?? -1);
  }

  /**
   * Removes a target that ended at time `now`, in milliseconds, and returns it; undefined if its
   * end is known. A target that is not known may have announced itself to another replica.
   */
  leave(id: string, now: number): TargetIncarnation | undefined {
    const known = this.rows.get(id);
    if (known === undefined) {
      return this.ends.has(id) ? undefined : this.recordUnknownEnd(id, now);
    }
    const incarnation = {id, bornAt: known.announcement.bornAt};
    this.rows.delete(id);
    this.unknownEnds.delete(id);
    this.ends.set(id, {incarnation, at: now});
    return incarnation;
  }

  private recordUnknownEnd(id: string, now: number): TargetIncarnation {
    const incarnation = {id, bornAt: UNKNOWN_START_TIME};
    this.ends.set(id, {incarnation, at: now});
    this.unknownEnds.add(id);
    for (const oldest of this.unknownEnds) {
      if (this.unknownEnds.size <= MAX_UNKNOWN_ENDS) {
        break;
      }
      this.unknownEnds.delete(oldest);
      this.ends.delete(oldest);
    }
    return incarnation;
  }

  /** Removes and returns the targets that have been silent for too long at time `now`, in milliseconds. */
  removeSilent(now: number): TargetIncarnation[] {
    for (const [id, end] of this.ends) {
      if (now - end.at > this.options.endRetentionMs) {
        this.ends.delete(id);
        this.unknownEnds.delete(id);
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
