import type {Member, MembersDelta} from '@marigoldspur/messages';
import {ConfirmationTimes} from './confirmation-times.js';

/** Options of a member table. */
export interface MemberTableOptions {
  /** ID of the table; versions of different tables cannot be compared. */
  readonly table: string;
  /** How long a member stays registered without a heartbeat, in milliseconds. */
  readonly leaseMs: number;
  /** Time from which all live members have had a full lease to announce themselves, in milliseconds. */
  readonly completeAt?: number;
}

/** A change of a member, caused by a heartbeat or by the end of its lease. */
export interface MemberChange {
  readonly kind: 'joined' | 'changed' | 'leaving' | 'expired' | 'fenced';
  readonly member: Member;
  /** Whether the process known under this ID has ended: it restarted or was removed. */
  readonly hasEnded?: boolean;
}

/** A lease requested by a relay. */
export interface RelayedLease {
  /** ID of the relay. */
  readonly relay: string;
  /** Time of the request, in milliseconds. */
  readonly at: number;
  /** Time at which the lease ends, in milliseconds. */
  readonly end: number;
}

/**
 * Outcome of a renewal by a relay; `elsewhere` if the member last announced itself
 * directly or through another relay.
 */
export type Renewal = 'renewed' | 'fenced' | 'missing' | 'elsewhere';

/** Result of a heartbeat. */
export interface AnnouncementResult {
  /** Whether another agent holds the target with a newer fencing number. */
  readonly isFenced: boolean;
  readonly changes: readonly MemberChange[];
}

interface Row {
  member: Member;
  text: string;
  version: number;
  leaseEnd: number;
  /** Relay of the last announcement; undefined if it was sent directly. */
  relay?: string;
}

const MAX_TRACKED_REMOVALS = 4_096;

/**
 * The announced processes and targets, with their leases.
 *
 * A target has one agent. If two agents announce it, the newer fencing number wins and
 * the other agent is fenced. After a leader change the new table starts empty. It is
 * complete only after a full lease, in which each member could announce itself.
 */
export class MemberTable {
  private readonly rows = new Map<string, Row>();
  private readonly removals = new Map<string, number>();
  /** Agent that holds each target by a fencing number. */
  private readonly targetHolders = new Map<string, string>();
  /**
   * Last confirmation of an agent of each target. Until this table is complete, an agent
   * may also have been confirmed by an earlier table.
   */
  readonly confirmations: ConfirmationTimes;
  private currentVersion = 0;
  private oldestDeltaVersion = 0;
  private completed: boolean;

  constructor(private readonly options: MemberTableOptions) {
    this.completed = options.completeAt === undefined;
    this.confirmations = new ConfirmationTimes(options.completeAt ?? -Infinity);
  }

  /** ID of the table. */
  get id(): string {
    return this.options.table;
  }

  /** Version of the table; it increases with each change. */
  get version(): number {
    return this.currentVersion;
  }

  /** Whether each member has had a full lease to announce itself. */
  get isComplete(): boolean {
    return this.completed;
  }

  /**
   * Handles a heartbeat at time `now`, in milliseconds. `grantedFence` is the newest
   * fencing number granted for the member's target, if any. A late announcement, which is
   * older than the known one of the same boot, is ignored.
   */
  announce(
    member: Member,
    now: number,
    grantedFence?: number,
    relayed?: RelayedLease,
  ): AnnouncementResult {
    if (this.isLate(member)) {
      return {isFenced: false, changes: []};
    }
    const fence = member.target?.fence;
    if (fence !== undefined && fence < this.newestFence(member, grantedFence)) {
      // The newer agent may have the same ID, for example after a restart.
      const isOwn = this.rows.get(member.id)?.member.boot === member.boot;
      const changes = isOwn ? this.remove(member.id, 'fenced') : [];
      return {isFenced: true, changes};
    }
    this.recordConfirmation(member, now);
    const changes = this.claimTarget(member);
    const change = this.put(member, now + this.options.leaseMs, relayed);
    return {
      isFenced: false,
      changes: change === undefined ? changes : [...changes, change],
    };
  }

  /** Renews the lease of a member for the relay that last announced it; other relays are rejected. */
  renew(
    id: string,
    lease: RelayedLease,
    grantedFence: number | undefined,
  ): {readonly renewal: Renewal; readonly changes: readonly MemberChange[]} {
    const row = this.rows.get(id);
    if (row === undefined) {
      return {renewal: 'missing', changes: []};
    }
    if (row.relay !== lease.relay) {
      return {renewal: 'elsewhere', changes: []};
    }
    const fence = row.member.target?.fence;
    if (fence !== undefined && fence < (grantedFence ?? 0)) {
      return {renewal: 'fenced', changes: this.remove(id, 'fenced')};
    }
    this.recordConfirmation(row.member, lease.at);
    row.leaseEnd = Math.max(row.leaseEnd, lease.end);
    return {renewal: 'renewed', changes: []};
  }

  /**
   * Removes the members whose leases ended before `now`, in milliseconds, and marks the
   * table complete when it is due. Both increase the version.
   */
  expire(now: number): MemberChange[] {
    const ended = [...this.rows]
      .filter(([, row]) => row.leaseEnd < now)
      .flatMap(([id]) => this.remove(id, 'expired'));
    if (!this.completed && now >= this.options.completeAt!) {
      this.completed = true;
      this.currentVersion += 1;
    }
    this.dropOldRemovals();
    return ended;
  }

  /** Returns all members. */
  members(): Member[] {
    return [...this.rows.values()].map(row => row.member);
  }

  /** Returns the member with an ID. */
  member(id: string): Member | undefined {
    return this.rows.get(id)?.member;
  }

  /** Returns the changes after `version` of `table`, or the whole table if that version is unknown. */
  delta(table: string, version: number): MembersDelta {
    const whole =
      table !== this.options.table ||
      version < this.oldestDeltaVersion ||
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
      complete: this.completed,
    };
  }

  private recordConfirmation({target}: Member, now: number): void {
    if (target !== undefined) {
      this.confirmations.record(target.name, now);
    }
  }

  private newestFence(member: Member, grantedFence = 0): number {
    const holder = this.targetHolders.get(member.target!.name);
    const held = holder === undefined ? undefined : this.member(holder);
    return Math.max(grantedFence, held?.target?.fence ?? 0);
  }

  /** Makes the member the only holder of its target and removes the earlier holder. */
  private claimTarget(member: Member): MemberChange[] {
    if (member.target?.fence === undefined) {
      return [];
    }
    const {name} = member.target;
    const holder = this.targetHolders.get(name);
    this.targetHolders.set(name, member.id);
    return holder === undefined || holder === member.id
      ? []
      : this.remove(holder, 'fenced');
  }

  private isLate(member: Member): boolean {
    const known = this.rows.get(member.id)?.member;
    return (
      known?.boot === member.boot && (member.mark ?? 0) < (known.mark ?? 0)
    );
  }

  private put(
    member: Member,
    ownLeaseEnd: number,
    relayed: RelayedLease | undefined,
  ): MemberChange | undefined {
    const text = JSON.stringify(member);
    const row = this.rows.get(member.id);
    const leaseEnd = Math.max(row?.leaseEnd ?? 0, relayed?.end ?? ownLeaseEnd);
    const relay = relayed?.relay;
    if (row !== undefined && row.text === text) {
      row.leaseEnd = leaseEnd;
      row.relay = relay;
      return undefined;
    }
    this.currentVersion += 1;
    this.removals.delete(member.id);
    const version = this.currentVersion;
    this.rows.set(member.id, {member, text, version, leaseEnd, relay});
    const kind = kindOf(row?.member, member);
    const isRestart = row !== undefined && row.member.boot !== member.boot;
    return isRestart ? {kind, member, hasEnded: true} : {kind, member};
  }

  private remove(id: string, kind: 'expired' | 'fenced'): MemberChange[] {
    const row = this.rows.get(id);
    if (row === undefined) {
      return [];
    }
    this.currentVersion += 1;
    this.rows.delete(id);
    this.removals.set(id, this.currentVersion);
    const name = row.member.target?.name;
    if (name !== undefined && this.targetHolders.get(name) === id) {
      this.targetHolders.delete(name);
    }
    return [{kind, member: row.member, hasEnded: true}];
  }

  private dropOldRemovals(): void {
    for (const [id, version] of this.removals) {
      if (this.removals.size <= MAX_TRACKED_REMOVALS) {
        return;
      }
      this.removals.delete(id);
      this.oldestDeltaVersion = Math.max(this.oldestDeltaVersion, version);
    }
  }
}

function kindOf(before: Member | undefined, after: Member) {
  if (before === undefined || before.boot !== after.boot) {
    return 'joined';
  }
  return after.leaving && !before.leaving ? 'leaving' : 'changed';
}
