import {setTimeout as pause} from 'node:timers/promises';
import {ChangeSignal} from '@marigoldspur/change-signal';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {
  MemberTable,
  RelaySessions,
  selectRelays,
  type MemberChange,
} from '@marigoldspur/membership';
import type {
  BatchAnswer,
  HeartbeatBatch,
  HeartbeatReceipt,
  Member,
  MembersDelta,
} from '@marigoldspur/messages';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import type {Command, CommandAnswer} from './command.js';
import type {ControlStateMachine} from './control-state-machine.js';
import {PendingFenceGrant} from './pending-fence-grant.js';

/** Longest time between two messages of a stream, in milliseconds. */
const STREAM_IDLE_MS = 1_000;
/** Letters of the boot in the identity of a table; a term has one leader, so they tell groups apart that were founded anew. */
const TABLE_BOOT_LENGTH = 8;
/** Relays of which is kept what they were told; past it all are told anew. */
const MAX_RELAYS_TOLD = 4_096;
/** Time in which changes of members are gathered into one delta, in milliseconds. */
const MEMBERS_BATCH_MS = 100;

/** What a member desk works with. */
export interface MembershipManagerOptions {
  /** Boot identity of the process. */
  readonly boot: string;
  readonly leaseMs: number;
  readonly machine: ControlStateMachine;
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  readonly events: EventLog;
  /** Called where a process has ended whose identity was a member's. */
  readonly onEnded: (id: string, now: number) => void;
}

/**
 * Keeps the member table while this replica leads. Each term begins a new table;
 * every call but `members` throws `NOT_LEADER` on any other replica.
 */
export class MembershipManager {
  private readonly changed = new ChangeSignal();
  private term = -1;
  private table: MemberTable;
  private relays: RelaySessions;
  /** What each relay was last told of the relays of its zone. */
  private readonly relaysTold = new Map<string, string | undefined>();

  constructor(private readonly options: MembershipManagerOptions) {
    const {boot, leaseMs} = options;
    this.table = new MemberTable({table: boot, leaseMs});
    this.relays = this.openRelays();
  }

  /** Members that this replica knows as leader. */
  members(): readonly Member[] {
    return this.table.members();
  }

  /** The member table of the present term. */
  requireLeadership(now: number): MemberTable {
    const {role, leaderUrl, term} = this.options.log.status();
    if (role !== 'leader') {
      throw new Fault('NOT_LEADER', leaderUrl ?? '');
    }
    if (term !== this.term) {
      this.begin(term, now);
    }
    return this.table;
  }

  /** Takes a member's own heartbeat; throws `FENCED` where a later agent has its target. */
  heartbeat(member: Member, now: number): HeartbeatReceipt {
    const members = this.requireLeadership(now);
    const granted =
      member.target && this.options.machine.fenceOf(member.target.name);
    const {fenced, changes} = members.announce(member, now, granted);
    this.take(changes, now);
    if (fenced) {
      throw new Fault(
        'FENCED',
        `another agent holds ${member.target?.name} under a newer number`,
      );
    }
    return this.receiptFor(member.zone);
  }

  /**
   * Takes note that a fencing number is about to be granted, which is a confirmation
   * itself; the result tells, once it is granted, for how long no agent of the target
   * was confirmed.
   */
  beginFenceGrant(target: string, now: number): PendingFenceGrant {
    const table = this.requireLeadership(now);
    return new PendingFenceGrant(target, table.confirmations, now);
  }

  /** Takes the heartbeats that a relay gathered. */
  heartbeats(batch: HeartbeatBatch, now: number): BatchAnswer {
    this.requireLeadership(now);
    const {answer, changes} = this.relays.applyBatch(batch, now);
    this.take(changes, now);
    const receipt = this.receiptFor(batch.zone);
    const relays = receipt.relays?.join();
    if (answer.taken && this.relaysTold.get(batch.relay) === relays) {
      return {...answer, receipt: {...receipt, relays: undefined}};
    }
    this.keepTold(batch.relay, answer.taken ? relays : undefined);
    return {...answer, receipt};
  }

  /** Waits up to `waitMs` for a newer version of the table. */
  async watch(
    table: string,
    version: number,
    waitMs: number,
  ): Promise<MembersDelta> {
    const members = this.requireLeadership(performance.now());
    const known = members.delta(table, version);
    if (!known.whole && known.version === version) {
      await this.changed.wait(waitMs);
    }
    return this.requireLeadership(performance.now()).delta(table, version);
  }

  /** The changes after a version of the table as they come. */
  async *follow(
    table: string,
    version: number,
    signal: AbortSignal,
  ): AsyncGenerator<MembersDelta> {
    let known = {table, version};
    while (!signal.aborted) {
      const members = this.requireLeadership(performance.now());
      const delta = members.delta(known.table, known.version);
      yield delta;
      known = delta;
      if (members.version === known.version) {
        await this.changed.wait(STREAM_IDLE_MS);
      }
      await pause(MEMBERS_BATCH_MS);
    }
  }

  /** Ends the leases that ran out before `now`, a `performance.now()` time. */
  expire(now: number): MemberTable {
    const members = this.requireLeadership(now);
    const {complete, version} = members;
    const expired = members.expire(now);
    if (members.version !== version) {
      this.changed.notify();
    }
    if (members.complete && !complete) {
      const count = members.members().length;
      this.options.events.record('members-settled', {members: count});
    }
    this.take(expired, now);
    return members;
  }

  private begin(term: number, now: number): void {
    const {boot, leaseMs} = this.options;
    this.term = term;
    this.table = new MemberTable({
      table: `${boot.slice(0, TABLE_BOOT_LENGTH)}/${term}`,
      leaseMs,
      completeAt: now + leaseMs,
    });
    this.relays = this.openRelays();
    this.relaysTold.clear();
  }

  private keepTold(relay: string, relays: string | undefined): void {
    if (this.relaysTold.size >= MAX_RELAYS_TOLD) {
      this.relaysTold.clear();
    }
    this.relaysTold.set(relay, relays);
  }

  private openRelays(): RelaySessions {
    return new RelaySessions({
      table: this.table,
      leaseMs: this.options.leaseMs,
      newestFenceOf: target => this.options.machine.fenceOf(target),
    });
  }

  private receiptFor(zone: string): HeartbeatReceipt {
    const receipt = {
      leaseMs: this.options.leaseMs,
      revision: this.options.machine.settings.revision,
    };
    const relays = selectRelays(this.table.members(), zone);
    return this.table.complete || relays.length > 0
      ? {...receipt, relays: relays.map(relay => relay.url)}
      : receipt;
  }

  private take(changes: readonly MemberChange[], now: number): void {
    if (changes.length > 0) {
      this.changed.notify();
    }
    for (const {hasEnded, member} of changes) {
      if (hasEnded) {
        this.options.onEnded(member.id, now);
      }
    }
    this.record(changes);
  }

  private record(changes: readonly MemberChange[]): void {
    for (const {kind, member} of changes) {
      if (kind !== 'changed') {
        const {id, role, zone} = member;
        this.options.events.record(`member-${kind}`, {member: id, role, zone});
      }
    }
  }
}
