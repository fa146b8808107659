import {
  adapterName,
  type DeploymentText,
  type NamedVersion,
} from '@marigoldspur/deployment';

/** Everything the state holds. */
export interface DeploymentSnapshot {
  readonly deployment?: DeploymentText;
  readonly versions: readonly NamedVersion[];
}

/** What became of a deployment that an operator sent. */
export type ReplaceOutcome = 'in-force' | 'overtaken';

/**
 * The deployment in force and the newest named version of each adapter. The highest
 * revision wins; whatever else is sent under its number changes nothing.
 */
export class DeploymentState {
  private current: DeploymentText | undefined;
  private versions = new Map<string, NamedVersion>();

  /** The deployment in force; undefined before the first. */
  get deployment(): DeploymentText | undefined {
    return this.current;
  }

  /** Takes a deployment in where its revision is the highest so far. */
  replace(deployment: DeploymentText): ReplaceOutcome {
    if (deployment.revision <= (this.current?.revision ?? -1)) {
      return 'overtaken';
    }
    this.current = deployment;
    return 'in-force';
  }

  /** Names a version; an older one than the newest changes nothing. */
  nameVersion(named: NamedVersion): void {
    const name = adapterName(named.model, named.adapter);
    const known = this.versions.get(name);
    if (known === undefined || known.version < named.version) {
      this.versions.set(name, named);
    }
  }

  /** The newest version of each adapter for which one was named. */
  namedVersions(): NamedVersion[] {
    return [...this.versions.values()];
  }

  snapshot(): DeploymentSnapshot {
    return {deployment: this.current, versions: this.namedVersions()};
  }

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
