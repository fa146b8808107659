import type {
  ControlService,
  ControlStatus,
  SettingsDelta,
  SettingsView,
} from '@marigoldspur/control-api';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {PermitDesk} from '@marigoldspur/load-permits';
import type {MemberChange, MemberTable} from '@marigoldspur/membership';
import type {
  Claim,
  ClaimOutcome,
  Completion,
  Member,
  MembersDelta,
  Permit,
  PermitRequest,
} from '@marigoldspur/messages';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import type {Change, ChangeOutcome} from '@marigoldspur/settings-schema';
import {ChangeSignal} from '@marigoldspur/change-signal';
import type {Command, CommandAnswer} from './command.js';
import type {ControlMachine} from './control-machine.js';

/** What a control desk works with. */
export interface ControlDeskOptions {
  readonly id: string;
  readonly leaseMs: number;
  readonly machine: ControlMachine;
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  readonly members: MemberTable;
  readonly permits: PermitDesk;
  readonly events: EventLog;
}

/** Answers the calls to one replica of control. */
export class ControlDesk implements ControlService {
  private readonly settingsSignal = new ChangeSignal();
  private readonly membersSignal = new ChangeSignal();

  constructor(private readonly options: ControlDeskOptions) {
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
    const changes = settings.changesAfter(revision);
    return changes === undefined
      ? {revision: settings.revision, tree: settings.tree, changes: []}
      : {revision: settings.revision, changes};
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
    await this.propose({command: 'complete-claim', completion});
  }

  async heartbeat(
    member: Member,
  ): Promise<{leaseMs: number; revision: number}> {
    this.requireLeader();
    const change = this.options.members.announce(member, Date.now());
    if (change !== undefined) {
      this.membersSignal.notify();
      this.recordMember(change);
    }
    return {
      leaseMs: this.options.leaseMs,
      revision: this.options.machine.settings.revision,
    };
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
    this.requireLeader();
    const {members} = this.options;
    const known = members.delta(table, version);
    if (!known.whole && known.version === version) {
      await this.membersSignal.wait(waitMs);
    }
    return members.delta(table, version);
  }

  async acquirePermit(request: PermitRequest): Promise<Permit> {
    this.requireLeader();
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

  /** Ends the leases that ran out before `now`, and the claims of lost entries. */
  checkLeases(now: number): void {
    const expired = this.options.members.expire(now);
    if (expired.length > 0) {
      this.membersSignal.notify();
    }
    for (const change of expired) {
      this.recordMember(change);
      const {role, id, boot} = change.member;
      if (role === 'entry') {
        void this.propose({command: 'lose-entry', entry: id, boot}).catch(
          () => {},
        );
      }
    }
  }

  private async propose(command: Command): Promise<CommandAnswer> {
    const proposed = await this.options.log.propose(command);
    if (proposed.isErr) {
      throw proposed.error;
    }
    return proposed.value;
  }

  private requireLeader(): void {
    const {role, leaderUrl} = this.options.log.status();
    if (role !== 'leader') {
      throw new Fault('NOT_LEADER', leaderUrl ?? '');
    }
  }

  private recordMember(change: MemberChange): void {
    const {id, role, zone} = change.member;
    switch (change.kind) {
      case 'joined':
        this.options.events.record('member-joined', {member: id, role, zone});
        return;
      case 'leaving':
        this.options.events.record('member-leaving', {member: id, role, zone});
        return;
      case 'expired':
        this.options.events.record('member-expired', {member: id, role, zone});
        return;
      case 'changed':
    }
  }
}
