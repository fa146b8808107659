import {
  adapterName,
  isNewerAnnouncement,
  type DeploymentText,
  type FleetMessage,
  type TargetAnnouncement,
  type TargetIncarnation,
} from '@marigoldspur/deployment';

/** What a message changed. */
export interface FleetChange {
  readonly deployment: boolean;
  /** Adapters for which a newer version was named. */
  readonly versions: readonly string[];
  readonly targets: boolean;
}

interface Source {
  /** Targets that this replica lists, by identity. */
  readonly targets: Map<string, TargetAnnouncement>;
  /** When its stream was lost, in milliseconds; undefined while it is followed. */
  lostAt?: number;
}

/** How long a lost replica's targets stay listed by it, in milliseconds. */
const LOST_SOURCE_MS = 10_000;
const MAX_ENDS = 4_096;

/**
 * What the streams of all replicas say, put together: the highest revision, the newest
 * version of each adapter, and each target that at least one replica hears. A target
 * that said that it ends is gone whatever another replica still lists.
 */
export class FleetView {
  private readonly sources = new Map<string, Source>();
  private readonly ends = new Map<string, number>();
  private readonly versions = new Map<string, number>();
  private text: DeploymentText | undefined;
  private urls: readonly string[] = [];
  private entryCount = 1;
  private merged: readonly TargetAnnouncement[] | undefined;

  /** The deployment in force; undefined before one is known. */
  get deployment(): DeploymentText | undefined {
    return this.text;
  }

  /** Base URLs of the replicas of control, as a replica last named them. */
  get replicas(): readonly string[] {
    return this.urls;
  }

  /** Entries that follow control, this one included. */
  get entries(): number {
    return Math.max(1, this.entryCount);
  }

  /** The newest version that was named for an adapter, or for a model itself. */
  versionOf(model: string, adapter?: string): number | undefined {
    return this.versions.get(adapterName(model, adapter));
  }

  /** Takes a message of one replica. */
  applyMessage(source: string, message: FleetMessage): FleetChange {
    if (message.whole) {
      this.sources.set(source, {targets: new Map()});
    }
    const deployment = this.takeDeployment(message.deployment);
    const versions = this.takeVersions(message);
    this.urls = message.replicas ?? this.urls;
    this.entryCount = message.entries ?? this.entryCount;
    const targets = this.takeTargets(source, message);
    return {deployment, versions, targets};
  }

  /** The stream of a replica was lost at time `now`, in milliseconds. */
  markSourceLost(source: string, now: number): void {
    const known = this.sources.get(source);
    if (known !== undefined) {
      known.lostAt = now;
    }
  }

  /** Drops what only replicas say that were lost long ago, while another is followed. */
  dropLostSources(now: number): void {
    const rows = [...this.sources];
    if (rows.every(([, source]) => source.lostAt !== undefined)) {
      return;
    }
    for (const [url, {lostAt}] of rows) {
      if (lostAt !== undefined && now - lostAt > LOST_SOURCE_MS) {
        this.sources.delete(url);
        this.merged = undefined;
      }
    }
  }

  /** The targets that are known, leaving ones included. */
  targets(): readonly TargetAnnouncement[] {
    this.merged ??= this.merge();
    return this.merged;
  }

  private takeDeployment(deployment: DeploymentText | undefined): boolean {
    if (
      deployment === undefined ||
      deployment.revision <= (this.text?.revision ?? -1)
    ) {
      return false;
    }
    this.text = deployment;
    return true;
  }

  private takeVersions({versions = []}: FleetMessage): string[] {
    const changed: string[] = [];
    for (const {model, adapter, version} of versions) {
      const name = adapterName(model, adapter);
      if (version > (this.versions.get(name) ?? -1)) {
        this.versions.set(name, version);
        changed.push(name);
      }
    }
    return changed;
  }

  private takeTargets(source: string, message: FleetMessage): boolean {
    const {gone = [], silent = [], targets = []} = message;
    const known = this.sources.get(source) ?? {targets: new Map()};
    this.sources.set(source, known);
    targets.forEach(target => known.targets.set(target.id, target));
    silent.forEach(life => removeLife(known, life));
    gone.forEach(({id, bornAt}) => {
      this.ends.set(id, Math.max(bornAt, this.ends.get(id) ?? 0));
      known.targets.delete(id);
    });
    while (this.ends.size > MAX_ENDS) {
      this.ends.delete(this.ends.keys().next().value!);
    }
    const changed =
      message.whole === true ||
      targets.length + silent.length + gone.length > 0;
    if (changed) {
      this.merged = undefined;
    }
    return changed;
  }

  private merge(): TargetAnnouncement[] {
    const newest = new Map<string, TargetAnnouncement>();
    for (const {targets} of this.sources.values()) {
      for (const target of targets.values()) {
        const known = newest.get(target.id);
        if (known === undefined || isNewerAnnouncement(target, known)) {
          newest.set(target.id, target);
        }
      }
    }
    const alive = [...newest.values()].filter(
      ({id, bornAt}) => bornAt > (this.ends.get(id) ?? -1),
    );
    return alive.filter(
      target =>
        !alive.some(
          other =>
            other.address === target.address && other.bornAt > target.bornAt,
        ),
    );
  }
}

function removeLife(source: Source, {id, bornAt}: TargetIncarnation): void {
  const known = source.targets.get(id);
  if (known !== undefined && known.bornAt <= bornAt) {
    source.targets.delete(id);
  }
}
