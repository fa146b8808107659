import type {BatchAnswer, HeartbeatBatch, Member} from '@marigoldspur/messages';
import type {MemberChange, MemberTable} from './member-table.js';

/** What relay sessions work with. */
export interface RelaySessionsOptions {
  readonly table: MemberTable;
  readonly leaseMs: number;
  /** The newest fencing number granted for a target. */
  readonly newestFenceOf: (target: string) => number | undefined;
}

/** What became of a batch of heartbeats. */
export interface BatchOutcome {
  readonly answer: Omit<BatchAnswer, 'receipt'>;
  readonly changes: readonly MemberChange[];
}

interface Session {
  readonly boot: string;
  stamp: number;
  /** Members that the relay speaks for. */
  readonly members: Set<string>;
}

/** Relays whose sessions are kept; the longest unused are dropped. */
const MAX_SESSIONS = 4_096;

/**
 * The batches of heartbeats that relays bring to the leader of control.
 *
 * A batch names the stamp of the answer before it and how long after that answer its
 * longest silent member was heard. So a lease is counted from a time at which the
 * member did live, on the leader's clock, however long the batch was on its way: a
 * relay that was frozen or speaks of a dead member prolongs no lease.
 */
export class RelaySessions {
  private readonly sessions = new Map<string, Session>();

  constructor(private readonly options: RelaySessionsOptions) {}

  /** Takes a batch at time `now`, in milliseconds. */
  applyBatch(batch: HeartbeatBatch, now: number): BatchOutcome {
    const {table} = this.options;
    // Rounded down, as leases are counted from it: never longer than exact.
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
      this.keep(batch.relay, {
        boot: batch.boot,
        stamp: at,
        members: new Set(),
      });
      const answer = {taken: false, stamp, fenced: [], missing: []};
      return {answer, changes: []};
    }
    const end = session.stamp + batch.heardMs + this.options.leaseMs;
    const taken = this.takeMembers(session, batch, {now, end});
    session.stamp = at;
    this.keep(batch.relay, session);
    return {
      answer: {
        taken: true,
        stamp,
        fenced: taken.fenced,
        missing: taken.missing,
      },
      changes: taken.changes,
    };
  }

  private takeMembers(
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
      // The batch was too long on its way to say who lives now.
      return {fenced, missing: this.forget(session, batch), changes};
    }
    for (const id of session.members) {
      const member = table.member(id);
      const renewed = table.renew(id, lease, this.grantedFor(member));
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
      const granted = this.grantedFor(member);
      const announced = table.announce(member, time.now, granted, lease);
      changes.push(...announced.changes);
      if (announced.fenced) {
        session.members.delete(member.id);
        fenced.push({id: member.id, boot: member.boot});
      } else {
        session.members.add(member.id);
      }
    }
    return {fenced, missing, changes};
  }

  private forget(session: Session, batch: HeartbeatBatch): string[] {
    const ids = [
      ...session.members,
      ...batch.announced.map(member => member.id),
    ];
    session.members.clear();
    return [...new Set(ids)];
  }

  private grantedFor(member: Member | undefined): number | undefined {
    const name = member?.target?.name;
    return name === undefined ? undefined : this.options.newestFenceOf(name);
  }

  private keep(relay: string, session: Session): void {
    this.sessions.set(relay, session);
    if (this.sessions.size > MAX_SESSIONS) {
      this.sessions.delete(this.sessions.keys().next().value!);
    }
  }
}
