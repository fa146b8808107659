import type {Member, MembersDelta} from '@marigoldspur/messages';
import {ConfirmationTimes} from './confirmation-times.js';

/** Options of a member table. */
export interface MemberTableOptions {
  /** Identity of the table; versions of different tables don't compare. */
  readonly table: string;
  /** How long a member lives without a heartbeat, in milliseconds. */
  readonly leaseMs: number;
  /** Until this time members may not have announced themselves yet, in milliseconds. */
  readonly completeAt?: number;
}

/** What a heartbeat or a check of leases changed. */
export interface MemberChange {
  readonly kind: 'joined' | 'changed' | 'leaving' | 'expired' | 'fenced';
  readonly member: Member;
  /** Whether the process that was known under this identity has ended: it began anew, or is gone. */
  readonly hasEnded?: boolean;
}

/** A lease that a relay asks for. */
export interface RelayedLease {
  /** Name of the relay. */
  readonly relay: string;
  /** When it was asked for, in milliseconds. */
  readonly at: number;
  /** When the lease ends, in milliseconds. */
  readonly end: number;
}

/** What became of a renewal by a relay. */
export type RenewalOutcome = 'renewed' | 'fenced' | 'missing' | 'elsewhere';

/** What became of a heartbeat. */
export interface AnnouncementResult {
  /** True where another agent holds the target under a newer fencing number. */
  readonly fenced: boolean;
  readonly changes: readonly MemberChange[];
}

interface Row {
  member: Member;
  text: string;
  version: number;
  leaseEnd: number;
  /** The relay that the last announcement came by, where one did. */
  relay?: string;
}

const MAX_KEPT_REMOVALS = 4_096;

/**
 * The processes and targets that announced themselves, with their leases.
 *
 * A target has one agent: where two announce it, the newer fencing number wins and
 * the other is fenced. A table that starts empty, as after a change of leader, is
 * complete only once each member had a lease's time to announce itself.
 */
export class MemberTable {
  private readonly rows = new Map<string, Row>();
  private readonly removals = new Map<string, number>();
  /** The agent that holds each target under a fencing number. */
  private readonly holders = new Map<string, string>();
  /** When an agent of each target was last confirmed; an earlier table may have until this one is complete. */
  readonly confirmations: ConfirmationTimes;
  private currentVersion = 0;
  private oldestDelta = 0;
  private isComplete: boolean;

  constructor(private readonly options: MemberTableOptions) {
    this.isComplete = options.completeAt === undefined;
    this.confirmations = new ConfirmationTimes(options.completeAt ?? -Infinity);
  }

  /** Identity of the table. */
  get id(): string {
    return this.options.table;
  }

  /** Version of the table; it rises with each change. */
  get version(): number {
    return this.currentVersion;
  }

  /** Whether each member had time to announce itself. */
  get complete(): boolean {
    return this.isComplete;
  }

  /**
   * Takes a heartbeat at time `now`, in milliseconds. `granted` is the newest
   * fencing number that was granted for the member's target, where one was. A late
   * announcement, older than the one known of the same boot, changes nothing.
   */
  announce(
    member: Member,
    now: number,
    granted?: number,
    relayed?: RelayedLease,
  ): AnnouncementResult {
    if (this.isLate(member)) {
      return {fenced: false, changes: []};
    }
    const fence = member.target?.fence;
    if (fence !== undefined && fence < this.newestFence(member, granted)) {
      // The newer agent may bear the same name, as one that was started anew.
      const isOwn = this.rows.get(member.id)?.member.boot === member.boot;
      const changes = isOwn ? this.remove(member.id, 'fenced') : [];
      return {fenced: true, changes};
    }
    this.confirm(member, now);
    const changes = this.takeTarget(member);
    const change = this.put(member, now + this.options.leaseMs, relayed);
    return {
      fenced: false,
      changes: change === undefined ? changes : [...changes, change],
    };
  }

  /** Renews the lease of a member that a relay hears; only the relay that announced it last may. */
  renew(
    id: string,
    lease: RelayedLease,
    granted: number | undefined,
  ): {
    readonly renewal: RenewalOutcome;
    readonly changes: readonly MemberChange[];
  } {
    const row = this.rows.get(id);
    if (row === undefined) {
      return {renewal: 'missing', changes: []};
    }
    if (row.relay !== lease.relay) {
      return {renewal: 'elsewhere', changes: []};
    }
    const fence = row.member.target?.fence;
    if (fence !== undefined && fence < (granted ?? 0)) {
      return {renewal: 'fenced', changes: this.remove(id, 'fenced')};
    }
    this.confirm(row.member, lease.at);
    row.leaseEnd = Math.max(row.leaseEnd, lease.end);
    return {renewal: 'renewed', changes: []};
  }

  /**
   * Removes the members whose leases ended before `now`, and settles the table.
   * Both raise the version.
   */
  expire(now: number): MemberChange[] {
    const ended = [...this.rows]
      .filter(([, row]) => row.leaseEnd < now)
      .flatMap(([id]) => this.remove(id, 'expired'));
    if (!this.isComplete && now >= this.options.completeAt!) {
      this.isComplete = true;
      this.currentVersion += 1;
    }
    this.dropOldRemovals();
    return ended;
  }

  /** All members. */
  members(): Member[] {
    return [...this.rows.values()].map(row => row.member);
  }

  /** The member with an identity. */
  member(id: string): Member | undefined {
    return this.rows.get(id)?.member;
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
      complete: this.isComplete,
    };
  }

  private confirm({target}: Member, now: number): void {
    if (target !== undefined) {
      this.confirmations.record(target.name, now);
    }
  }

  private newestFence(member: Member, granted = 0): number {
    const holder = this.holders.get(member.target!.name);
    const held = holder === undefined ? undefined : this.member(holder);
    return Math.max(granted, held?.target?.fence ?? 0);
  }

  /** Makes the member the one holder of its target. */
  private takeTarget(member: Member): MemberChange[] {
    if (member.target?.fence === undefined) {
      return [];
    }
    const {name} = member.target;
    const holder = this.holders.get(name);
    this.holders.set(name, member.id);
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
    if (name !== undefined && this.holders.get(name) === id) {
      this.holders.delete(name);
    }
    return [{kind, member: row.member, hasEnded: true}];
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
