import type {Member, MembersDelta} from '@marigoldspur/messages';

/** Options of a member table. */
export interface MemberTableOptions {
  /** Identity of the table; versions of different tables don't compare. */
  readonly table: string;
  /** How long a member lives without a heartbeat, in milliseconds. */
  readonly leaseMs: number;
}

/** What a heartbeat or a check of leases changed. */
export interface MemberChange {
  readonly kind: 'joined' | 'changed' | 'leaving' | 'expired';
  readonly member: Member;
}

interface Row {
  member: Member;
  text: string;
  version: number;
  leaseEnd: number;
}

const MAX_KEPT_REMOVALS = 4_096;

/** The processes and targets that announced themselves, with their leases. */
export class MemberTable {
  private readonly rows = new Map<string, Row>();
  private readonly removals = new Map<string, number>();
  private currentVersion = 0;
  private oldestDelta = 0;

  constructor(private readonly options: MemberTableOptions) {}

  /** Version of the table; it rises with each change. */
  get version(): number {
    return this.currentVersion;
  }

  /** Takes a heartbeat at time `now`, in milliseconds. */
  announce(member: Member, now: number): MemberChange | undefined {
    const leaseEnd = now + this.options.leaseMs;
    const text = JSON.stringify(member);
    const row = this.rows.get(member.id);
    if (row !== undefined && row.text === text) {
      row.leaseEnd = leaseEnd;
      return undefined;
    }
    this.currentVersion += 1;
    this.removals.delete(member.id);
    this.rows.set(member.id, {
      member,
      text,
      version: this.currentVersion,
      leaseEnd,
    });
    return {kind: kindOf(row?.member, member), member};
  }

  /** Removes the members whose leases ended before `now`. */
  expire(now: number): MemberChange[] {
    const changes: MemberChange[] = [];
    for (const [id, row] of this.rows) {
      if (row.leaseEnd < now) {
        this.currentVersion += 1;
        this.rows.delete(id);
        this.removals.set(id, this.currentVersion);
        changes.push({kind: 'expired', member: row.member});
      }
    }
    this.dropOldRemovals();
    return changes;
  }

  /** All members. */
  members(): Member[] {
    return [...this.rows.values()].map(row => row.member);
  }

  /** What changed after `version` of `table`; the whole table where that is not known. */
  delta(table: string, version: number): MembersDelta {
    const whole =
      table !== this.options.table ||
      version < this.oldestDelta ||
      version > this.currentVersion;
    const since = whole ? -1 : version;
    const changed = [...this.rows.values()].filter(row => row.version > since);
    const removed = [...this.removals].filter(([, at]) => at > since);
    return {
      table: this.options.table,
      version: this.currentVersion,
      whole,
      changed: changed.map(row => row.member),
      removed: whole ? [] : removed.map(([id]) => id),
    };
  }

  private dropOldRemovals(): void {
    for (const [id, version] of this.removals) {
      if (this.removals.size <= MAX_KEPT_REMOVALS) {
        return;
      }
      this.removals.delete(id);
      this.oldestDelta = Math.max(this.oldestDelta, version);
    }
  }
}

function kindOf(before: Member | undefined, after: Member) {
  if (before === undefined || before.boot !== after.boot) {
    return 'joined';
  }
  return after.leaving && !before.leaving ? 'leaving' : 'changed';
}
