import type {BatchAnswer, HeartbeatBatch, Member} from '@marigoldspur/messages';
import type {MemberChange, MemberTable} from './member-table.js';

/** Options of relay sessions. */
export interface RelaySessionsOptions {
  readonly table: MemberTable;
  readonly leaseMs: number;
  /** Returns the newest fencing number granted for a target. */
  readonly newestFenceOf: (target: string) => number | undefined;
}

/** Result of a heartbeat batch. */
export interface BatchOutcome {
  readonly answer: Omit<BatchAnswer, 'receipt'>;
  readonly changes: readonly MemberChange[];
}

interface Session {
  readonly boot: string;
  stamp: number;
  /** Members that the relay renews. */
  readonly members: Set<string>;
}

/** Maximum number of relay sessions; beyond it the least recently used one is dropped. */
const MAX_SESSIONS = 4_096;

/**
 * Sessions of the relays that send heartbeat batches to the leader of control.
 *
 * Each answer to a batch carries a stamp with the leader's time. The relay returns the
 * stamp in its next batch, together with `heardMs`: the time from that answer until it
 * received the oldest of its members' latest heartbeats. The leases of the batch start at
 * the stamp plus `heardMs`. On the leader's clock, that is no later than any of these
 * heartbeats, however long the batch was in transit. A relay that was frozen or reports a
 * dead member therefore extends no lease.
 */
export class RelaySessions {
  private readonly sessions = new Map<string, Session>();

  constructor(private readonly options: RelaySessionsOptions) {}

  /** Applies a batch at time `now`, in milliseconds. */
  applyBatch(batch: HeartbeatBatch, now: number): BatchOutcome {
    const {table} = this.options;
    // Leases are counted from this time; rounding it down never extends them.
    const at = Math.floor(now);
    const stamp = {table: table.id, at};
    const session = this.sessions.get(batch.relay);
    this.sessions.delete(batch.relay);
    if (
      session === undefined ||
      session.boot !== batch.boot ||
      batch.stamp?.table !== table.id ||
      batch.stamp.at !== session.stamp
    ) {
      this.saveSession(batch.relay, {
        boot: batch.boot,
        stamp: at,
        members: new Set(),
      });
      const answer = {taken: false, stamp, fenced: [], missing: []};
      return {answer, changes: []};
    }
    const end = session.stamp + batch.heardMs + this.options.leaseMs;
    const updated = this.updateMembers(session, batch, {now, end});
    session.stamp = at;
    this.saveSession(batch.relay, session);
    return {
      answer: {
        taken: true,
        stamp,
        fenced: updated.fenced,
        missing: updated.missing,
      },
      changes: updated.changes,
    };
  }

  private updateMembers(
    session: Session,
    batch: HeartbeatBatch,
    time: {readonly now: number; readonly end: number},
  ) {
    const {table} = this.options;
    const lease = {relay: batch.relay, at: time.now, end: time.end};
    const fenced: Array<{id: string; boot: string}> = [];
    const missing: string[] = [];
    const changes: MemberChange[] = [];
    batch.silent.forEach(id => session.members.delete(id));
    if (time.end <= time.now) {
      // The batch was in transit for too long to show which members are alive now.
      return {fenced, missing: this.clearMembers(session, batch), changes};
    }
    for (const id of session.members) {
      const member = table.member(id);
      const renewed = table.renew(id, lease, this.newestFenceFor(member));
      changes.push(...renewed.changes);
      if (renewed.renewal !== 'renewed') {
        session.members.delete(id);
      }
      if (renewed.renewal === 'fenced') {
        fenced.push({id, boot: member!.boot});
      }
      if (renewed.renewal === 'missing') {
        missing.push(id);
      }
    }
    for (const member of batch.announced) {
      const grantedFence = this.newestFenceFor(member);
      const announced = table.announce(member, time.now, grantedFence, lease);
      changes.push(...announced.changes);
      if (announced.isFenced) {
        session.members.delete(member.id);
        fenced.push({id: member.id, boot: member.boot});
      } else {
        session.members.add(member.id);
      }
    }
    return {fenced, missing, changes};
  }

  private clearMembers(session: Session, batch: HeartbeatBatch): string[] {
    const ids = [
      ...session.members,
      ...batch.announced.map(member => member.id),
    ];
    session.members.clear();
    return [...new Set(ids)];
  }

  private newestFenceFor(member: Member | undefined): number | undefined {
    const name = member?.target?.name;
    return name === undefined ? undefined : this.options.newestFenceOf(name);
  }

  private saveSession(relay: string, session: Session): void {
    this.sessions.set(relay, session);
    if (this.sessions.size > MAX_SESSIONS) {
      this.sessions.delete(this.sessions.keys().next().value!);
    }
  }
}
