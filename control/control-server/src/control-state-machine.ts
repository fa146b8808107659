import {ClaimState, type ClaimsSnapshot} from '@marigoldspur/request-claims';
import {
  DeploymentState,
  type DeploymentSnapshot,
} from '@marigoldspur/deployment-state';
import {
  SettingsState,
  type SettingsSnapshot,
} from '@marigoldspur/settings-tree';
import type {StateMachine} from '@marigoldspur/replicated-log';
import type {Command, CommandAnswer} from './command.js';

interface Snapshot {
  readonly settings: SettingsSnapshot;
  readonly claims: ClaimsSnapshot;
  /** Missing in snapshots of earlier versions. */
  readonly deployments?: DeploymentSnapshot;
  readonly fence: number;
  /** Newest fencing number of each target. */
  readonly targetFences: ReadonlyArray<readonly [string, number]>;
}

/** Maximum number of targets whose newest fencing number is kept; the least recently granted are evicted. */
const MAX_TARGET_FENCES = 20_000;

/** Replicated state of control: settings, claims, deployments and fencing numbers. */
export class ControlStateMachine implements StateMachine<
  Command,
  CommandAnswer
> {
  readonly settings = new SettingsState();
  readonly claims = new ClaimState();
  readonly deployments = new DeploymentState();
  private lastFence = 0;
  private targetFences = new Map<string, number>();
  private readonly settingsListeners = new Set<() => void>();
  private readonly deploymentListeners = new Set<() => void>();

  /** Calls `listener` after each applied settings change. */
  onSettingsChange(listener: () => void): void {
    this.settingsListeners.add(listener);
  }

  /** Calls `listener` after each change of the deployment or of the named versions. */
  onDeploymentChange(listener: () => void): void {
    this.deploymentListeners.add(listener);
  }

  apply(command: Command): CommandAnswer {
    switch (command.command) {
      case 'change-settings': {
        const outcome = this.settings.apply(command.change);
        this.notifySettingsListeners();
        return {command: 'change-settings', outcome};
      }
      case 'take-claim': {
        const outcome = this.claims.take(command.claim, command.at);
        return {command: 'take-claim', outcome};
      }
      case 'complete-claim':
        this.claims.complete(command.completion, command.at);
        return {command: 'done'};
      case 'lose-entry':
        this.claims.markEntryLost(command.entry, command.boot, command.at);
        return {command: 'done'};
      case 'replace-deployment': {
        const outcome = this.deployments.replace(command.deployment);
        this.notifyDeploymentListeners();
        return {command: 'replace-deployment', outcome};
      }
      case 'name-version':
        this.deployments.nameVersion(command.named);
        this.notifyDeploymentListeners();
        return {command: 'done'};
      case 'record-software-version':
        this.deployments.recordSoftwareVersion(command.version);
        this.notifyDeploymentListeners();
        return {command: 'done'};
      case 'grant-fence':
        return this.grantFence(command.target);
    }
  }

  /** Returns the newest fencing number granted for a target. */
  fenceOf(target: string): number | undefined {
    return this.targetFences.get(target);
  }

  snapshot(): string {
    const snapshot: Snapshot = {
      settings: this.settings.snapshot(),
      claims: this.claims.snapshot(),
      deployments: this.deployments.snapshot(),
      fence: this.lastFence,
      targetFences: [...this.targetFences],
    };
    return JSON.stringify(snapshot);
  }

  restore(text: string): void {
    const snapshot = JSON.parse(text) as Snapshot;
    this.settings.restore(snapshot.settings);
    this.claims.restore(snapshot.claims);
    this.deployments.restore(snapshot.deployments ?? {versions: []});
    this.lastFence = snapshot.fence;
    this.targetFences = new Map(snapshot.targetFences);
    this.notifySettingsListeners();
    this.notifyDeploymentListeners();
  }

  private grantFence(target: string): CommandAnswer {
    // Once the map is full, a missing target may have been evicted after an earlier grant.
    const first =
      !this.targetFences.has(target) &&
      this.targetFences.size < MAX_TARGET_FENCES;
    this.lastFence += 1;
    this.targetFences.delete(target);
    this.targetFences.set(target, this.lastFence);
    if (this.targetFences.size > MAX_TARGET_FENCES) {
      this.targetFences.delete(this.targetFences.keys().next().value!);
    }
    return {command: 'grant-fence', fence: this.lastFence, first};
  }

  private notifyDeploymentListeners(): void {
    for (const listener of this.deploymentListeners) {
      listener();
    }
  }

  private notifySettingsListeners(): void {
    for (const listener of this.settingsListeners) {
      listener();
    }
  }
}
