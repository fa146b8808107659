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

/** Maximum time between two messages of a stream, in milliseconds. */
const MAX_MESSAGE_INTERVAL_MS = 1_000;
/**
 * Number of characters of the boot ID in a table ID. A term has one leader, so these
 * characters only distinguish groups that were bootstrapped at different times.
 */
const TABLE_BOOT_LENGTH = 8;
/** Maximum number of relays whose last sent relay list is kept; beyond it all lists are sent again. */
const MAX_SENT_RELAY_LISTS = 4_096;
/** Time for which member changes are batched into one delta, in milliseconds. */
const MEMBERS_BATCH_DELAY_MS = 100;

/** Options of a membership manager. */
export interface MembershipManagerOptions {
  /** Boot ID of the process. */
  readonly boot: string;
  readonly leaseMs: number;
  readonly machine: ControlStateMachine;
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  readonly events: EventLog;
  /** Called when the process of a member has ended, with the member's ID and the time in milliseconds. */
  readonly onEnded: (id: string, now: number) => void;
}

/**
 * Maintains the member table while this replica leads. Each term starts a new table.
 * Every method except `members` throws `NOT_LEADER` on a follower.
 */
export class MembershipManager {
  private readonly changed = new ChangeSignal();
  private term = -1;
  private table: MemberTable;
  private relaySessions: RelaySessions;
  /** The list of its zone's relays that was last sent to each relay. */
  private readonly sentRelayLists = new Map<string, string | undefined>();

  constructor(private readonly options: MembershipManagerOptions) {
    const {boot, leaseMs} = options;
    this.table = new MemberTable({table: boot, leaseMs});
    this.relaySessions = this.createRelaySessions();
  }

  /** Returns the members in this replica's table; only the leader's is current. */
  members(): readonly Member[] {
    return this.table.members();
  }

  /** Returns the member table of the current term; throws `NOT_LEADER` on a follower. */
  requireLeadership(now: number): MemberTable {
    const {role, leaderUrl, term} = this.options.log.status();
    if (role !== 'leader') {
      throw new Fault('NOT_LEADER', leaderUrl ?? '');
    }
    if (term !== this.term) {
      this.beginTerm(term, now);
    }
    return this.table;
  }

  /** Handles a heartbeat sent by the member itself; throws `FENCED` if a newer agent holds its target. */
  handleHeartbeat(member: Member, now: number): HeartbeatReceipt {
    const memberTable = this.requireLeadership(now);
    const grantedFence =
      member.target && this.options.machine.fenceOf(member.target.name);
    const {isFenced, changes} = memberTable.announce(member, now, grantedFence);
    this.handleChanges(changes, now);
    if (isFenced) {
      throw new Fault(
        'FENCED',
        `target "${member.target?.name}" is held by another agent with a newer fencing number`,
      );
    }
    return this.receiptFor(member.zone);
  }

  /**
   * Starts the grant of a fencing number, which itself counts as a confirmation. Once the
   * number is granted, the result states for how long no agent of the target was confirmed.
   */
  beginFenceGrant(target: string, now: number): PendingFenceGrant {
    const memberTable = this.requireLeadership(now);
    return new PendingFenceGrant(target, memberTable.confirmations, now);
  }

  /** Handles a batch of heartbeats from a relay. */
  handleHeartbeatBatch(batch: HeartbeatBatch, now: number): BatchAnswer {
    this.requireLeadership(now);
    const {answer, changes} = this.relaySessions.applyBatch(batch, now);
    this.handleChanges(changes, now);
    const receipt = this.receiptFor(batch.zone);
    const relays = receipt.relays?.join();
    if (answer.taken && this.sentRelayLists.get(batch.relay) === relays) {
      return {...answer, receipt: {...receipt, relays: undefined}};
    }
    this.recordSentRelays(batch.relay, answer.taken ? relays : undefined);
    return {...answer, receipt};
  }

  /** Waits up to `waitMs` for a newer version of the table and returns the delta. */
  async watch(
    table: string,
    version: number,
    waitMs: number,
  ): Promise<MembersDelta> {
    const memberTable = this.requireLeadership(performance.now());
    const known = memberTable.delta(table, version);
    if (!known.whole && known.version === version) {
      await this.changed.wait(waitMs);
    }
    return this.requireLeadership(performance.now()).delta(table, version);
  }

  /** Streams the changes after a version of the table. */
  async *follow(
    table: string,
    version: number,
    signal: AbortSignal,
  ): AsyncGenerator<MembersDelta> {
    let known = {table, version};
    while (!signal.aborted) {
      const memberTable = this.requireLeadership(performance.now());
      const delta = memberTable.delta(known.table, known.version);
      yield delta;
      known = delta;
      if (memberTable.version === known.version) {
        await this.changed.wait(MAX_MESSAGE_INTERVAL_MS);
      }
      await pause(MEMBERS_BATCH_DELAY_MS);
    }
  }

  /** Ends the leases that expired before `now`, a `performance.now()` time. */
  expire(now: number): MemberTable {
    const memberTable = this.requireLeadership(now);
    const {isComplete: wasComplete, version} = memberTable;
    const expired = memberTable.expire(now);
    if (memberTable.version !== version) {
      this.changed.notify();
    }
    if (memberTable.isComplete && !wasComplete) {
      const count = memberTable.members().length;
      this.options.events.record('members-settled', {members: count});
    }
    this.handleChanges(expired, now);
    return memberTable;
  }

  private beginTerm(term: number, now: number): void {
    const {boot, leaseMs} = this.options;
    this.term = term;
    this.table = new MemberTable({
      table: `${boot.slice(0, TABLE_BOOT_LENGTH)}/${term}`,
      leaseMs,
      completeAt: now + leaseMs,
    });
    this.relaySessions = this.createRelaySessions();
    this.sentRelayLists.clear();
  }

  private recordSentRelays(relay: string, relays: string | undefined): void {
    if (this.sentRelayLists.size >= MAX_SENT_RELAY_LISTS) {
      this.sentRelayLists.clear();
    }
    this.sentRelayLists.set(relay, relays);
  }

  private createRelaySessions(): RelaySessions {
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
    return this.table.isComplete || relays.length > 0
      ? {...receipt, relays: relays.map(relay => relay.url)}
      : receipt;
  }

  private handleChanges(changes: readonly MemberChange[], now: number): void {
    if (changes.length > 0) {
      this.changed.notify();
    }
    for (const {hasEnded, member} of changes) {
      if (hasEnded) {
        this.options.onEnded(member.id, now);
      }
    }
    this.recordChanges(changes);
  }

  private recordChanges(changes: readonly MemberChange[]): void {
    for (const {kind, member} of changes) {
      if (kind !== 'changed') {
        const {id, role, zone} = member;
        this.options.events.record(`member-${kind}`, {member: id, role, zone});
      }
    }
  }
}
