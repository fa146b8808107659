import {
  adapterName,
  type DeploymentText,
  type NamedVersion,
} from '@marigoldspur/deployment';

/** Snapshot of a deployment state. */
export interface DeploymentSnapshot {
  readonly deployment?: DeploymentText;
  readonly versions: readonly NamedVersion[];
}

/** Whether a deployment sent by an operator took effect or was superseded. */
export type ReplaceOutcome = 'in-force' | 'overtaken';

/**
 * The active deployment and the newest named version of each adapter. The highest
 * revision wins; other content sent with the same revision is ignored.
 */
export class DeploymentState {
  private current: DeploymentText | undefined;
  private versions = new Map<string, NamedVersion>();

  /** The active deployment; undefined before the first one. */
  get deployment(): DeploymentText | undefined {
    return this.current;
  }

  /** Activates a deployment if its revision is the highest so far. */
  replace(deployment: DeploymentText): ReplaceOutcome {
    if (deployment.revision <= (this.current?.revision ?? -1)) {
      return 'overtaken';
    }
    this.current = deployment;
    return 'in-force';
  }

  /** Names a version; a version older than the newest is ignored. */
  nameVersion(named: NamedVersion): void {
    const name = adapterName(named.model, named.adapter);
    const known = this.versions.get(name);
    if (known === undefined || known.version < named.version) {
      this.versions.set(name, named);
    }
  }

  /** Returns the newest named version of each adapter. */
  namedVersions(): NamedVersion[] {
    return [...this.versions.values()];
  }

  /** Returns a snapshot of the state. */
  snapshot(): DeploymentSnapshot {
    return {deployment: this.current, versions: this.namedVersions()};
  }

  /** Replaces the state with a snapshot. */
  restore(snapshot: DeploymentSnapshot): void {
    this.current = snapshot.deployment;
    this.versions = new Map(
      snapshot.versions.map(named => [
        adapterName(named.model, named.adapter),
        named,
      ]),
    );
  }
}
