import {
  adapterName,
  digestVersions,
  isNewerAnnouncement,
  UNKNOWN_START_TIME,
  type DeploymentText,
  type FleetMessage,
  type TargetAnnouncement,
  type TargetIncarnation,
} from '@marigoldspur/deployment';

/** The parts of the view that a message changed. */
export interface FleetChange {
  /** Whether a deployment with a higher revision became active. */
  readonly hasNewDeployment: boolean;
  /** Names of the adapters with a newer named version. */
  readonly versions: readonly string[];
  /** Whether the message may have changed the known targets. */
  readonly hasChangedTargets: boolean;
}

interface Source {
  /** Targets listed by this replica, by ID. */
  readonly targets: Map<string, TargetAnnouncement>;
  /** Time at which its stream was lost, in milliseconds; undefined while it is followed. */
  lostAt?: number;
}

/** Time for which the targets of a lost replica are kept, in milliseconds. */
const LOST_SOURCE_RETENTION_MS = 10_000;
const MAX_TRACKED_ENDS = 4_096;

/**
 * The merged state of the streams of all replicas: the deployment with the highest
 * revision, the newest version of each adapter, and each target that at least one replica
 * lists. A target that announced its end is removed even if another replica still lists
 * it.
 */
export class FleetView {
  private readonly sources = new Map<string, Source>();
  private readonly endedIncarnations = new Map<string, number>();
  /** Last start of each target that said to this process that it leaves, by ID. */
  private readonly leaves = new Map<string, number>();
  private readonly versions = new Map<string, number>();
  /** Digest of the named versions; undefined once they have changed. */
  private digest: string | undefined;
  private currentDeployment: DeploymentText | undefined;
  private replicaUrls: readonly string[] = [];
  private entryCount = 1;
  private mergedTargets: readonly TargetAnnouncement[] | undefined;

  /** The active deployment; undefined before one is known. */
  get deployment(): DeploymentText | undefined {
    return this.currentDeployment;
  }

  /** Base URLs of the replicas of control, as last listed by a replica. */
  get replicas(): readonly string[] {
    return this.replicaUrls;
  }

  /** Number of entries that follow control, including this one. */
  get entries(): number {
    return Math.max(1, this.entryCount);
  }

  /** Returns the newest named version of an adapter, or of a model if no adapter is given. */
  versionOf(model: string, adapter?: string): number | undefined {
    return this.versions.get(adapterName(model, adapter));
  }

  /** Digest of the newest named version of each adapter. */
  get versionsDigest(): string {
    this.digest ??= digestVersions(this.versions);
    return this.digest;
  }

  /** Whether a target announced its end. */
  hasEnded({id, bornAt}: TargetIncarnation): boolean {
    return bornAt <= (this.endedIncarnations.get(id) ?? -1);
  }

  /** Records that a target said in an answer that it leaves; returns whether that is new. */
  recordLeave({bornAt, id}: TargetIncarnation): boolean {
    if (bornAt <= (this.leaves.get(id) ?? -1)) {
      return false;
    }
    this.leaves.delete(id);
    this.leaves.set(id, bornAt);
    removeOldest(this.leaves);
    this.mergedTargets = undefined;
    return true;
  }

  /** Returns the targets that said to this process that they leave. */
  leavingTargets(): TargetIncarnation[] {
    return [...this.leaves].map(([id, bornAt]) => ({id, bornAt}));
  }

  /** Applies a message of one replica. */
  applyMessage(source: string, message: FleetMessage): FleetChange {
    if (message.whole) {
      this.sources.set(source, {targets: new Map()});
    }
    const versions = this.applyVersions(message);
    this.replicaUrls = message.replicas ?? this.replicaUrls;
    this.entryCount = message.entries ?? this.entryCount;
    const hasChangedTargets = this.applyTargets(source, message);
    return {hasNewDeployment: false, versions, hasChangedTargets};
  }

  /** Applies a deployment, unless one with the same or a higher revision is known. */
  applyDeployment(deployment: DeploymentText): FleetChange {
    const hasNewDeployment =
      deployment.revision > (this.currentDeployment?.revision ?? -1);
    if (hasNewDeployment) {
      this.currentDeployment = deployment;
    }
    return {hasNewDeployment, versions: [], hasChangedTargets: false};
  }

  /** Records that the stream of a replica was lost at time `now`, in milliseconds; its targets are kept for now. */
  markSourceLost(source: string, now: number): void {
    const known = this.sources.get(source);
    if (known !== undefined) {
      known.lostAt = now;
    }
  }

  /** Drops the targets of replicas that have been lost for too long at time `now`, unless all replicas are lost. */
  dropLostSources(now: number): void {
    const rows = [...this.sources];
    if (rows.every(([, source]) => source.lostAt !== undefined)) {
      return;
    }
    for (const [url, {lostAt}] of rows) {
      if (lostAt !== undefined && now - lostAt > LOST_SOURCE_RETENTION_MS) {
        this.sources.delete(url);
        this.mergedTargets = undefined;
      }
    }
  }

  /** Returns the known targets, including leaving ones. */
  targets(): readonly TargetAnnouncement[] {
    this.mergedTargets ??= this.mergeTargets();
    return this.mergedTargets;
  }

  private applyVersions({versions = []}: FleetMessage): string[] {
    const changed: string[] = [];
    for (const {model, adapter, version} of versions) {
      const name = adapterName(model, adapter);
      if (version > (this.versions.get(name) ?? -1)) {
        this.versions.set(name, version);
        this.digest = undefined;
        changed.push(name);
      }
    }
    return changed;
  }

  private applyTargets(source: string, message: FleetMessage): boolean {
    const {gone = [], silent = [], targets = []} = message;
    const known = this.sources.get(source) ?? {targets: new Map()};
    this.sources.set(source, known);
    targets.forEach(target => known.targets.set(target.id, target));
    silent.forEach(incarnation => removeIncarnation(known, incarnation));
    gone.forEach(({id, bornAt}) => {
      const endedAt =
        bornAt === UNKNOWN_START_TIME && message.whole !== true
          ? this.lastKnownStart(id)
          : bornAt;
      this.endedIncarnations.set(
        id,
        Math.max(endedAt, this.endedIncarnations.get(id) ?? 0),
      );
      known.targets.delete(id);
    });
    removeOldest(this.endedIncarnations);
    const isChanged =
      message.whole === true ||
      targets.length + silent.length + gone.length > 0;
    if (isChanged) {
      this.mergedTargets = undefined;
    }
    return isChanged;
  }

  /** Last start of a target that a replica lists. */
  private lastKnownStart(id: string): number {
    const starts = [...this.sources.values()].map(
      ({targets}) => targets.get(id)?.bornAt ?? UNKNOWN_START_TIME,
    );
    return Math.max(...starts);
  }

  private mergeTargets(): TargetAnnouncement[] {
    const newest = new Map<string, TargetAnnouncement>();
    for (const {targets} of this.sources.values()) {
      for (const target of targets.values()) {
        const known = newest.get(target.id);
        const latest =
          known === undefined || isNewerAnnouncement(target, known)
            ? target
            : known;
        const isContradicted =
          known !== undefined &&
          known.bornAt === target.bornAt &&
          known.softwareVersion !== target.softwareVersion;
        newest.set(
          target.id,
          isContradicted ? {...latest, softwareVersion: undefined} : latest,
        );
      }
    }
    const running = [...newest.values()]
      .filter(target => !this.hasEnded(target))
      .map(target =>
        target.bornAt <= (this.leaves.get(target.id) ?? -1)
          ? {...target, leaving: true}
          : target,
      );
    return running.filter(
      target =>
        !running.some(
          other =>
            other.address === target.address && other.bornAt > target.bornAt,
        ),
    );
  }
}

/** Drops the targets that were added first, down to the maximum. */
function removeOldest(starts: Map<string, number>): void {
  for (const id of starts.keys()) {
    if (starts.size <= MAX_TRACKED_ENDS) {
      return;
    }
    starts.delete(id);
  }
}

function removeIncarnation(
  source: Source,
  {id, bornAt}: TargetIncarnation,
): void {
  const known = source.targets.get(id);
  if (known !== undefined && known.bornAt <= bornAt) {
    source.targets.delete(id);
  }
}
