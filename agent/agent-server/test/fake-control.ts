import {
  createControlRouter,
  createHeartbeatHandler,
  type ControlService,
  type ControlStatus,
  type SettingsDelta,
  type SettingsView,
} from '@marigoldspur/control-api';
import {ChangeSignal} from '@marigoldspur/change-signal';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {openLinkSecurity} from '@marigoldspur/link-security';
import type {
  BatchAnswer,
  ClaimOutcome,
  FenceGrant,
  Member,
  MembersDelta,
  PermitAnswer,
  PermitRequest,
} from '@marigoldspur/messages';
import {createProcessMetrics} from '@marigoldspur/metrics';
import {ProcessPort, startProcessServer} from '@marigoldspur/process-server';
import {
  createEmptyTree,
  type ChangeOutcome,
  type SettingsTree,
} from '@marigoldspur/settings-schema';

const FOLLOW_MS = 500;

/**
 * An in-memory control with one process whose responses are set by the test.
 */
export class FakeControl implements ControlService {
  /** Last announced members by ID and boot ID. */
  readonly members = new Map<string, Member>();
  readonly permitRequests: PermitRequest[] = [];
  /** Whether permits are granted. */
  grants = true;
  /** Whether loads are refused as too late. */
  refuses = false;
  /** Whether calls are left without a response. */
  isUnresponsive = false;
  url = '';
  private readonly changed = new ChangeSignal();
  private readonly fences = new Map<string, string>();
  private fence = 0;
  private permits = 0;
  private view: SettingsView = {revision: 1, tree: createEmptyTree()};

  async start(tree: SettingsTree): Promise<void> {
    this.view = {revision: 1, tree};
    const labels = {process: 'control', role: 'control', zone: 'a'};
    const security = await openLinkSecurity(
      {host: '127.0.0.1'},
      new EventLog({process: 'control'}),
    );
    const port = await ProcessPort.open(
      {host: '127.0.0.1', port: 0},
      security,
      {onAwaited() {}, onOpened() {}, onAcceptFailed() {}},
    );
    const server = startProcessServer({
      port,
      security,
      metrics: createProcessMetrics(labels),
      onFault: () => {},
      isReady: () => true,
      routers: {control: createControlRouter(this)},
      fallback: createHeartbeatHandler(this),
      service: {
        status: () => {
          throw new Fault('NOT_FOUND', 'no status');
        },
        events: () => [],
        drain: () => {},
      },
    });
    this.url = server.url;
  }

  /** Replaces the settings tree. */
  change(tree: SettingsTree): void {
    this.view = {revision: this.view.revision + 1, tree};
    this.changed.notify();
  }

  async readSettings(): Promise<SettingsView> {
    return this.view;
  }

  async watchSettings(
    revision: number,
    waitMs: number,
  ): Promise<SettingsDelta> {
    if (this.view.revision <= revision) {
      await this.changed.wait(waitMs);
    }
    return {...this.view, changes: []};
  }

  async *followSettings(
    revision: number,
    signal: AbortSignal,
  ): AsyncGenerator<SettingsDelta> {
    let known = revision;
    while (!signal.aborted) {
      const delta = await this.watchSettings(known, FOLLOW_MS);
      known = delta.revision;
      yield delta;
    }
  }

  async heartbeat(member: Member) {
    await this.waitUntilResponsive();
    const target = member.target?.name ?? '';
    this.members.set(`${member.id}/${member.boot}`, member);
    if (this.fences.has(target) && this.fences.get(target) !== member.boot) {
      throw new Fault('FENCED', 'a newer agent has the target');
    }
    return {leaseMs: 3_000, revision: this.view.revision};
  }

  async heartbeats(): Promise<BatchAnswer> {
    throw new Fault('NOT_FOUND', 'not part of this control');
  }

  async grantFence(target: string, boot: string): Promise<FenceGrant> {
    const first = !this.fences.has(target);
    this.fences.set(target, boot);
    this.fence += 1;
    return {fence: this.fence, first, silentMs: 0};
  }

  async acquirePermit(request: PermitRequest): Promise<PermitAnswer> {
    this.permitRequests.push(request);
    if (this.refuses) {
      return {
        validMs: 30_000,
        refusal: {reason: 'too-late', retryAfterMs: 7_000},
      };
    }
    const end = performance.now() + request.waitMs;
    while (!this.grants && performance.now() < end) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    await this.waitUntilResponsive();
    this.permits += 1;
    const permit = this.grants ? String(this.permits) : undefined;
    return {permit, validMs: 30_000};
  }

  async releasePermit(): Promise<void> {}

  async changeSettings(): Promise<ChangeOutcome> {
    throw new Fault('NOT_FOUND', 'not part of this control');
  }

  async settingsHistory() {
    return [];
  }

  async takeClaim(): Promise<ClaimOutcome> {
    throw new Fault('NOT_FOUND', 'not part of this control');
  }

  async completeClaim(): Promise<void> {}

  async watchMembers(): Promise<MembersDelta> {
    throw new Fault('NOT_FOUND', 'not part of this control');
  }

  followMembers(): AsyncIterable<MembersDelta> {
    throw new Fault('NOT_FOUND', 'not part of this control');
  }

  status(): ControlStatus {
    throw new Fault('NOT_FOUND', 'not part of this control');
  }

  private async waitUntilResponsive(): Promise<void> {
    while (this.isUnresponsive) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }
}
