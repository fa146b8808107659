import {
  isNewerAnnouncement,
  type TargetAnnouncement,
  type TargetIncarnation,
} from '@marigoldspur/deployment';

/** Options of a target registry. */
export interface TargetRegistryOptions {
  /** Time without an announcement after which a target counts as silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** Time for which the end of a target is remembered, in milliseconds. */
  readonly endRetentionMs: number;
}

/** What an announcement changed. */
export type AnnouncementOutcome = 'changed' | 'unchanged' | 'late';

interface Row {
  announcement: TargetAnnouncement;
  heardAt: number;
}

interface End {
  readonly life: TargetIncarnation;
  readonly at: number;
}

/**
 * The targets that announced themselves. What is newer is told by the start of the
 * target's process and, within one start, by the number of the announcement, so that
 * a late announcement changes nothing.
 */
export class TargetRegistry {
  private readonly rows = new Map<string, Row>();
  private readonly ends = new Map<string, End>();

  constructor(private readonly options: TargetRegistryOptions) {}

  /** Takes an announcement at time `now`, in milliseconds. */
  announce(announcement: TargetAnnouncement, now: number): AnnouncementOutcome {
    const {id} = announcement;
    const end = this.ends.get(id);
    if (end !== undefined && end.life.bornAt >= announcement.bornAt) {
      return 'late';
    }
    const known = this.rows.get(id);
    if (
      known !== undefined &&
      !isNewerAnnouncement(announcement, known.announcement)
    ) {
      return 'late';
    }
    if (this.hasLaterAt(announcement)) {
      return 'late';
    }
    this.ends.delete(id);
    this.rows.set(id, {announcement, heardAt: now});
    return known !== undefined && saysTheSame(announcement, known.announcement)
      ? 'unchanged'
      : 'changed';
  }

  /** A target says that it ends; undefined where it is not known. */
  leave(id: string, now: number): TargetIncarnation | undefined {
    const known = this.rows.get(id);
    if (known === undefined) {
      return undefined;
    }
    const life = {id, bornAt: known.announcement.bornAt};
    this.rows.delete(id);
    this.ends.set(id, {life, at: now});
    return life;
  }

  /** Takes out and gives the targets that have been silent for too long at time `now`. */
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

  /** The newest announcement of each target. */
  targets(): TargetAnnouncement[] {
    return [...this.rows.values()].map(row => row.announcement);
  }

  /** The targets whose end is remembered. */
  ended(): TargetIncarnation[] {
    return [...this.ends.values()].map(end => end.life);
  }

  /** Whether another target that started later has the announced address. */
  private hasLaterAt({id, address, bornAt}: TargetAnnouncement): boolean {
    return this.targets().some(
      other =>
        other.address === address && other.id !== id && other.bornAt > bornAt,
    );
  }
}

function saysTheSame(one: TargetAnnouncement, other: TargetAnnouncement) {
  return (
    JSON.stringify({...one, sequence: 0}) ===
    JSON.stringify({...other, sequence: 0})
  );
}
