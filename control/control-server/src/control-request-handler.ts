import type {
  ControlService,
  ControlStatus,
  SettingsDelta,
  SettingsView,
} from '@marigoldspur/control-api';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {PermitManager} from '@marigoldspur/load-permits';
import type {MemberTable} from '@marigoldspur/membership';
import type {
  BatchAnswer,
  Claim,
  ClaimOutcome,
  Completion,
  FenceGrant,
  HeartbeatBatch,
  HeartbeatReceipt,
  Member,
  MembersDelta,
  PermitAnswer,
  PermitRequest,
} from '@marigoldspur/messages';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import type {Change, ChangeOutcome} from '@marigoldspur/settings-schema';
import type {ClaimHolder} from '@marigoldspur/request-claims';
import {AbsentHolderTracker} from './absent-holder-tracker.js';
import type {Command, CommandAnswer} from './command.js';
import type {ControlStateMachine} from './control-state-machine.js';
import {MembershipManager} from './membership-manager.js';
import {SettingsPublisher} from './settings-publisher.js';

/** Options of a control request handler. */
export interface ControlRequestHandlerOptions {
  readonly id: string;
  /** Boot ID of the process. */
  readonly boot: string;
  readonly leaseMs: number;
  readonly machine: ControlStateMachine;
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  readonly permits: PermitManager;
  readonly events: EventLog;
}

/** Handles the requests to one replica of control. */
export class ControlRequestHandler implements ControlService {
  private readonly settingsPublisher: SettingsPublisher;
  private readonly membershipManager: MembershipManager;
  private readonly absentHolderTracker: AbsentHolderTracker;
  /** Term in which absent holders are tracked. */
  private trackedTerm = -1;

  constructor(private readonly options: ControlRequestHandlerOptions) {
    this.settingsPublisher = new SettingsPublisher(
      options.machine,
      options.log,
    );
    this.membershipManager = new MembershipManager({
      ...options,
      // The permits of an ended agent would block other loads from its store.
      onEnded: (id, now) => options.permits.reconcile(id, [], now),
    });
    this.absentHolderTracker = new AbsentHolderTracker(options.leaseMs);
  }

  async readSettings(fresh: boolean): Promise<SettingsView> {
    return this.settingsPublisher.read(fresh);
  }

  async watchSettings(
    revision: number,
    waitMs: number,
  ): Promise<SettingsDelta> {
    return this.settingsPublisher.watch(revision, waitMs);
  }

  followSettings(
    revision: number,
    signal: AbortSignal,
  ): AsyncGenerator<SettingsDelta> {
    return this.settingsPublisher.follow(revision, signal);
  }

  followMembers(
    table: string,
    version: number,
    signal: AbortSignal,
  ): AsyncGenerator<MembersDelta> {
    return this.membershipManager.follow(table, version, signal);
  }

  async changeSettings(change: Change): Promise<ChangeOutcome> {
    const answer = await this.propose({command: 'change-settings', change});
    if (answer.command !== 'change-settings') {
      throw new Fault(
        'INTERNAL',
        'unexpected answer to a settings change command',
      );
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
      throw new Fault('INTERNAL', 'unexpected answer to a claim command');
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
    this.membershipManager.requireLeadership(now);
    const loading = member.target?.load?.loading;
    if (loading !== undefined) {
      this.options.permits.reconcile(member.id, loading, now);
    }
    return this.membershipManager.handleHeartbeat(member, now);
  }

  /** Handles a batch of heartbeats from a relay; throws `NOT_LEADER` on a follower. */
  async heartbeats(batch: HeartbeatBatch): Promise<BatchAnswer> {
    return this.membershipManager.handleHeartbeatBatch(
      batch,
      performance.now(),
    );
  }

  async grantFence(target: string, boot: string): Promise<FenceGrant> {
    const grant = this.membershipManager.beginFenceGrant(
      target,
      performance.now(),
    );
    const answer = await this.propose({command: 'grant-fence', target, boot});
    if (answer.command !== 'grant-fence') {
      throw new Fault('INTERNAL', 'unexpected answer to a fence command');
    }
    const {fence, first} = answer;
    return {fence, first, silentMs: grant.silentMs(performance.now())};
  }

  async watchMembers(
    table: string,
    version: number,
    waitMs: number,
  ): Promise<MembersDelta> {
    return this.membershipManager.watch(table, version, waitMs);
  }

  async acquirePermit(request: PermitRequest): Promise<PermitAnswer> {
    const now = performance.now();
    this.membershipManager.requireLeadership(now);
    if (request.loading !== undefined) {
      this.options.permits.reconcile(request.agent, request.loading, now);
    }
    const answer = await this.options.permits.acquire(request);
    if (answer.permit !== undefined) {
      this.options.events.record('permit-granted', {
        store: request.store,
        agent: request.agent,
        model: request.model,
      });
    }
    if (answer.refusal !== undefined) {
      this.options.events.record('permit-refused', {
        store: request.store,
        agent: request.agent,
        model: request.model,
        ...answer.refusal,
      });
    }
    return answer;
  }

  async releasePermit(
    permit: string,
    loaded: boolean,
    used: boolean,
  ): Promise<void> {
    const unloadedOutcome = used ? 'failed' : 'unused';
    this.options.permits.release(permit, loaded ? 'loaded' : unloadedOutcome);
  }

  status(): ControlStatus {
    return {
      id: this.options.id,
      revision: this.options.machine.settings.revision,
      ...this.options.log.status(),
    };
  }

  /** Number of members in this replica's member table; only the leader's is current. */
  get memberCount(): number {
    return this.membershipManager.members().length;
  }

  /**
   * Ends the leases that expired before `now`, a `performance.now()` time, and the claims
   * of entries that have been absent for a full lease. Does nothing on a follower.
   */
  checkLeases(now: number): void {
    const {role, term} = this.options.log.status();
    if (role !== 'leader') {
      return;
    }
    if (term !== this.trackedTerm) {
      this.trackedTerm = term;
      this.absentHolderTracker.clear();
    }
    this.endClaimsOfAbsentHolders(this.membershipManager.expire(now), now);
  }

  private endClaimsOfAbsentHolders(table: MemberTable, now: number): void {
    const holders = this.options.machine.claims.holders();
    const isMember = ({entry, boot}: ClaimHolder) =>
      table.member(entry)?.boot === boot;
    this.absentHolderTracker
      .takeLost(holders, isMember, now)
      .forEach(({entry, boot}) => this.proposeEntryLoss(entry, boot));
  }

  private proposeEntryLoss(entry: string, boot: string): void {
    this.options.events.record('claims-lost', {entry, boot});
    const at = Date.now();
    this.propose({command: 'lose-entry', entry, boot, at}).catch(() => {
      // The next lease check proposes it again.
    });
  }

  private async propose(command: Command): Promise<CommandAnswer> {
    const proposed = await this.options.log.propose(command);
    if (proposed.isErr) {
      throw proposed.error;
    }
    return proposed.value;
  }
}
