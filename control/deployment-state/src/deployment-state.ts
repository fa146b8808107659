import {
  adapterName,
  type DeploymentText,
  type NamedVersion,
  type ServiceVersion,
} from '@marigoldspur/deployment';

/** Snapshot of a deployment state. */
export interface DeploymentSnapshot {
  readonly deployment?: DeploymentText;
  readonly versions: readonly NamedVersion[];
  /** Missing in snapshots of earlier versions. */
  readonly softwareVersions?: readonly ServiceVersion[];
}

/**
 * Maximum number of software versions that are kept of a service. Whether it had one or several
 * is all that is asked.
 */
const MAX_SOFTWARE_VERSIONS = 2;

/** Whether a deployment sent by an operator took effect or was superseded. */
export type ReplaceOutcome = 'in-force' | 'overtaken';

/**
 * The active deployment and the newest named version of each adapter. The highest
 * revision wins; other content sent with the same revision is ignored.
 */
export class DeploymentState {
  private current: DeploymentText | undefined;
  private versions = new Map<string, NamedVersion>();
  private softwareVersions: readonly ServiceVersion[] = [];

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

  /** Records that targets of a service have a software version. */
  recordSoftwareVersion(version: ServiceVersion): void {
    if (!this.isSoftwareVersionRecorded(version)) {
      this.softwareVersions = [...this.softwareVersions, version];
    }
  }

  /** Whether a software version, or as many of its service as are kept, are recorded. */
  isSoftwareVersionRecorded({
    service,
    softwareVersion,
  }: ServiceVersion): boolean {
    const known = this.softwareVersions.filter(
      version => version.service === service,
    );
    return (
      known.length >= MAX_SOFTWARE_VERSIONS ||
      known.some(version => version.softwareVersion === softwareVersion)
    );
  }

  /** Returns the recorded software versions, at most two of each service. */
  recordedSoftwareVersions(): readonly ServiceVersion[] {
    return this.softwareVersions;
  }

  /** Returns a snapshot of the state. */
  snapshot(): DeploymentSnapshot {
    return {
      deployment: this.current,
      versions: this.namedVersions(),
      softwareVersions: this.softwareVersions,
    };
  }

  /** Replaces the state with a snapshot. */
  restore(snapshot: DeploymentSnapshot): void {
    this.current = snapshot.deployment;
    this.softwareVersions = snapshot.softwareVersions ?? [];
    this.versions = new Map(
      snapshot.versions.map(named => [
        adapterName(named.model, named.adapter),
        named,
      ]),
    );
  }
}
