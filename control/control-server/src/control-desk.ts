import {setTimeout as pause} from 'node:timers/promises';
import type {
  ControlService,
  ControlStatus,
  SettingsDelta,
  SettingsView,
} from '@marigoldspur/control-api';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {PermitDesk} from '@marigoldspur/load-permits';
import {
  MemberTable,
  RelaySessions,
  type MemberChange,
} from '@marigoldspur/membership';
import type {
  BatchAnswer,
  Claim,
  ClaimOutcome,
  Completion,
  HeartbeatBatch,
  HeartbeatReceipt,
  Member,
  MembersDelta,
  Permit,
  PermitRequest,
} from '@marigoldspur/messages';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import type {Change, ChangeOutcome} from '@marigoldspur/settings-schema';
import {ChangeSignal} from '@marigoldspur/change-signal';
import type {ClaimHolder} from '@marigoldspur/request-claims';
import {AbsentHolders} from './absent-holders.js';
import type {Command, CommandAnswer} from './command.js';
import type {ControlMachine} from './control-machine.js';
import {QuorumContact} from './quorum-contact.js';

/** Longest time between two messages of a stream, in milliseconds. */
const STREAM_IDLE_MS = 1_000;
/** Time in which changes of members are gathered into one delta, in milliseconds. */
const MEMBERS_BATCH_MS = 100;
/** Entries of a zone that gather its heartbeats: one, and one that stands by. */
const RELAYS_PER_ZONE = 2;

/** What a control desk works with. */
export interface ControlDeskOptions {
  readonly id: string;
  /** Boot identity of the process. */
  readonly boot: string;
  readonly leaseMs: number;
  readonly machine: ControlMachine;
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  readonly permits: PermitDesk;
  readonly events: EventLog;
}

/** Answers the calls to one replica of control. */
export class ControlDesk implements ControlService {
  private readonly settingsSignal = new ChangeSignal();
  private readonly membersSignal = new ChangeSignal();

  private readonly contact: QuorumContact;
  private term = -1;
  private table: MemberTable;
  private relays: RelaySessions;
  private readonly absent: AbsentHolders;

  constructor(private readonly options: ControlDeskOptions) {
    this.table = new MemberTable({
      table: options.boot,
      leaseMs: options.leaseMs,
    });
    this.relays = this.openRelays();
    this.absent = new AbsentHolders(options.leaseMs);
    this.contact = new QuorumContact(options.log);
    options.machine.onSettings(() => this.settingsSignal.notify());
  }

  async readSettings(fresh: boolean): Promise<SettingsView> {
    if (fresh) {
      const barrier = await this.options.log.readBarrier();
      if (barrier.isErr) {
        throw barrier.error;
      }
    }
    const {settings} = this.options.machine;
    return {revision: settings.revision, tree: settings.tree};
  }

  async watchSettings(
    revision: number,
    waitMs: number,
  ): Promise<SettingsDelta> {
    const {settings} = this.options.machine;
    if (settings.revision <= revision) {
      await this.settingsSignal.wait(waitMs);
    }
    return this.deltaAfter(revision);
  }

  async *followSettings(
    revision: number,
    signal: AbortSignal,
  ): AsyncGenerator<SettingsDelta> {
    const {settings} = this.options.machine;
    let known = revision;
    while (!signal.aborted) {
      await this.contact.confirm(performance.now());
      const confirmed = this.deltaAfter(known);
      yield {...confirmed, confirmed: true};
      known = Math.max(known, confirmed.revision);
      if (settings.revision <= known) {
        await this.settingsSignal.wait(STREAM_IDLE_MS);
      }
      while (settings.revision > known && !signal.aborted) {
        const delta = this.deltaAfter(known);
        yield delta;
        known = delta.revision;
      }
    }
  }

  async *followMembers(
    table: string,
    version: number,
    signal: AbortSignal,
  ): AsyncGenerator<MembersDelta> {
    let known = {table, version};
    while (!signal.aborted) {
      const members = this.requireOffice(performance.now());
      const delta = members.delta(known.table, known.version);
      yield delta;
      known = delta;
      if (members.version === known.version) {
        await this.membersSignal.wait(STREAM_IDLE_MS);
      }
      await pause(MEMBERS_BATCH_MS);
    }
  }

  async changeSettings(change: Change): Promise<ChangeOutcome> {
    const answer = await this.propose({command: 'change-settings', change});
    if (answer.command !== 'change-settings') {
      throw new Fault('INTERNAL', 'unexpected answer to a settings change');
    }
    const {outcome} = answer;
    const name =
      outcome.outcome === 'accepted' ? 'change-accepted' : 'change-rejected';
    this.options.events.record(name, {
      change: change.id,
      number: change.number,
      author: change.author,
      outcome: outcome.outcome,
    });
    return outcome;
  }

  async settingsHistory(limit: number): Promise<readonly Change[]> {
    return this.options.machine.settings.history(limit);
  }

  async takeClaim(claim: Claim): Promise<ClaimOutcome> {
    const at = Date.now();
    const answer = await this.propose({command: 'take-claim', claim, at});
    if (answer.command !== 'take-claim') {
      throw new Fault('INTERNAL', 'unexpected answer to a claim');
    }
    const {outcome} = answer.outcome;
    const name = outcome === 'granted' ? 'claim-taken' : 'claim-refused';
    this.options.events.record(name, {key: claim.key, outcome}, claim.request);
    return answer.outcome;
  }

  async completeClaim(completion: Completion): Promise<void> {
    const at = Date.now();
    await this.propose({command: 'complete-claim', completion, at});
  }

  async heartbeat(member: Member): Promise<HeartbeatReceipt> {
    const now = performance.now();
    const members = this.requireOffice(now);
    const granted =
      member.target && this.options.machine.fenceOf(member.target.name);
    const {fenced, changes} = members.announce(member, now, granted);
    this.recordMembers(changes);
    if (member.target?.loading !== undefined) {
      this.options.permits.keepOnly(member.id, member.target.loading, now);
    }
    if (fenced) {
      throw new Fault(
        'FENCED',
        `another agent holds ${member.target?.name} under a newer number`,
      );
    }
    return this.receiptFor(member.zone);
  }

  /** Takes the heartbeats that a relay gathered; throws where this replica doesn't lead. */
  async heartbeats(batch: HeartbeatBatch): Promise<BatchAnswer> {
    const now = performance.now();
    this.requireOffice(now);
    const {answer, changes} = this.relays.take(batch, now);
    this.recordMembers(changes);
    return {...answer, receipt: this.receiptFor(batch.zone)};
  }

  async grantFence(target: string, boot: string): Promise<number> {
    const answer = await this.propose({command: 'grant-fence', target, boot});
    if (answer.command !== 'grant-fence') {
      throw new Fault('INTERNAL', 'unexpected answer to a fence');
    }
    return answer.fence;
  }

  async watchMembers(
    table: string,
    version: number,
    waitMs: number,
  ): Promise<MembersDelta> {
    const members = this.requireOffice(performance.now());
    const known = members.delta(table, version);
    if (!known.whole && known.version === version) {
      await this.membersSignal.wait(waitMs);
    }
    return this.requireOffice(performance.now()).delta(table, version);
  }

  async acquirePermit(request: PermitRequest): Promise<Permit> {
    this.requireOffice(performance.now());
    const permit = await this.options.permits.acquire(request);
    if (permit.permit !== undefined) {
      this.options.events.record('permit-granted', {
        store: request.store,
        agent: request.agent,
        model: request.model,
      });
    }
    if (permit.refusal !== undefined) {
      this.options.events.record('permit-refused', {
        store: request.store,
        agent: request.agent,
        model: request.model,
        ...permit.refusal,
      });
    }
    return permit;
  }

  async releasePermit(
    permit: string,
    loaded: boolean,
    used: boolean,
  ): Promise<void> {
    const failed = used ? 'failed' : 'unused';
    this.options.permits.release(permit, loaded ? 'loaded' : failed);
  }

  status(): ControlStatus {
    return {
      id: this.options.id,
      revision: this.options.machine.settings.revision,
      ...this.options.log.status(),
    };
  }

  /** Members that this replica knows as leader. */
  get memberCount(): number {
    return this.table.members().length;
  }

  /** Ends the leases that ran out before `now`, a `performance.now()` time, and the claims of lost entries. */
  checkLeases(now: number): void {
    if (this.options.log.status().role !== 'leader') {
      return;
    }
    const members = this.requireOffice(now);
    const {complete, version} = members;
    const expired = members.expire(now);
    if (members.version !== version) {
      this.membersSignal.notify();
    }
    if (members.complete && !complete) {
      const count = members.members().length;
      this.options.events.record('members-settled', {members: count});
    }
    this.recordMembers(expired);
    this.loseAbsentHolders(members, now);
  }

  private loseAbsentHolders(members: MemberTable, now: number): void {
    const holders = this.options.machine.claims.holders();
    const isMember = ({entry, boot}: ClaimHolder) =>
      members.member(entry)?.boot === boot;
    this.absent
      .lost(holders, isMember, now)
      .forEach(({entry, boot}) => this.loseEntry(entry, boot));
  }

  private loseEntry(entry: string, boot: string): void {
    this.options.events.record('claims-lost', {entry, boot});
    const at = Date.now();
    this.propose({command: 'lose-entry', entry, boot, at}).catch(() => {
      // The next check of leases proposes it again.
    });
  }

  private deltaAfter(revision: number): SettingsDelta {
    const {settings} = this.options.machine;
    const changes = settings.changesAfter(revision);
    if (changes !== undefined) {
      return {revision: settings.revision, changes};
    }
    return settings.revision < revision
      ? {revision: settings.revision, changes: []}
      : {revision: settings.revision, tree: settings.tree, changes: []};
  }

  private async propose(command: Command): Promise<CommandAnswer> {
    const proposed = await this.options.log.propose(command);
    if (proposed.isErr) {
      throw proposed.error;
    }
    return proposed.value;
  }

  /** The member table of this term's office; throws where this replica doesn't lead. */
  private requireOffice(now: number): MemberTable {
    const {role, leaderUrl, term} = this.options.log.status();
    if (role !== 'leader') {
      throw new Fault('NOT_LEADER', leaderUrl ?? '');
    }
    if (term !== this.term) {
      this.term = term;
      this.absent.clear();
      this.table = new MemberTable({
        table: `${this.options.boot}/${term}`,
        leaseMs: this.options.leaseMs,
        completeAt: now + this.options.leaseMs,
      });
      this.relays = this.openRelays();
    }
    return this.table;
  }

  private openRelays(): RelaySessions {
    return new RelaySessions({
      table: this.table,
      leaseMs: this.options.leaseMs,
      granted: target => this.options.machine.fenceOf(target),
    });
  }

  private receiptFor(zone: string): HeartbeatReceipt {
    const receipt = {
      leaseMs: this.options.leaseMs,
      revision: this.options.machine.settings.revision,
    };
    const relays = this.table.relays(zone, RELAYS_PER_ZONE);
    return this.table.complete || relays.length > 0
      ? {...receipt, relays: relays.map(relay => relay.url)}
      : receipt;
  }

  private recordMembers(changes: readonly MemberChange[]): void {
    if (changes.length > 0) {
      this.membersSignal.notify();
    }
    for (const {kind, member} of changes) {
      if (kind !== 'changed') {
        const {id, role, zone} = member;
        this.options.events.record(`member-${kind}`, {member: id, role, zone});
      }
    }
  }
}
