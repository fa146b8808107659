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
  /** Absent in snapshots of earlier versions. */
  readonly deployments?: DeploymentSnapshot;
  readonly fence: number;
  /** The newest fencing number of each target. */
  readonly targetFences: ReadonlyArray<readonly [string, number]>;
}

/** Targets whose newest fencing number is kept; the longest unused are dropped. */
const MAX_TARGET_FENCES = 20_000;

/** What control keeps through the log: settings, claims and fencing numbers. */
export class ControlStateMachine implements StateMachine<
  Command,
  CommandAnswer
> {
  readonly settings = new SettingsState();
  readonly claims = new ClaimState();
  readonly deployments = new DeploymentState();
  private fence = 0;
  private targetFences = new Map<string, number>();
  private readonly listeners = new Set<() => void>();
  private readonly deploymentListeners = new Set<() => void>();

  /** Calls `listener` after each settings change that is applied. */
  onSettingsChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Calls `listener` after each change of the deployment or of a named version. */
  onDeploymentChange(listener: () => void): void {
    this.deploymentListeners.add(listener);
  }

  apply(command: Command): CommandAnswer {
    switch (command.command) {
      case 'change-settings': {
        const outcome = this.settings.apply(command.change);
        this.announceSettings();
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
        this.announceDeployment();
        return {command: 'replace-deployment', outcome};
      }
      case 'name-version':
        this.deployments.nameVersion(command.named);
        this.announceDeployment();
        return {command: 'done'};
      case 'grant-fence':
        return this.grantFence(command.target);
    }
  }

  /** The newest fencing number granted for a target. */
  fenceOf(target: string): number | undefined {
    return this.targetFences.get(target);
  }

  snapshot(): string {
    const snapshot: Snapshot = {
      settings: this.settings.snapshot(),
      claims: this.claims.snapshot(),
      deployments: this.deployments.snapshot(),
      fence: this.fence,
      targetFences: [...this.targetFences],
    };
    return JSON.stringify(snapshot);
  }

  restore(text: string): void {
    const snapshot = JSON.parse(text) as Snapshot;
    this.settings.restore(snapshot.settings);
    this.claims.restore(snapshot.claims);
    this.deployments.restore(snapshot.deployments ?? {versions: []});
    this.fence = snapshot.fence;
    this.targetFences = new Map(snapshot.targetFences);
    this.announceSettings();
    this.announceDeployment();
  }

  private grantFence(target: string): CommandAnswer {
    // A target that was dropped from a full list had a number before.
    const first =
      !this.targetFences.has(target) &&
      this.targetFences.size < MAX_TARGET_FENCES;
    this.fence += 1;
    this.targetFences.delete(target);
    this.targetFences.set(target, this.fence);
    if (this.targetFences.size > MAX_TARGET_FENCES) {
      this.targetFences.delete(this.targetFences.keys().next().value!);
    }
    return {command: 'grant-fence', fence: this.fence, first};
  }

  private announceDeployment(): void {
    for (const listener of this.deploymentListeners) {
      listener();
    }
  }

  private announceSettings(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }
}
