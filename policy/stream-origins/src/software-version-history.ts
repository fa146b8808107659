import type {
  ServiceVersion,
  SoftwareVersions,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';

/**
 * Whether the targets of a service have one software version; `unknown` if they may have had
 * others before this process could see it.
 */
export type VersionCertainty = 'one' | 'several' | 'unknown';

/** Time for which a version without targets is remembered, in milliseconds. */
const RETENTION_MS = 60_000;
/** Maximum number of versions of all services that are remembered. */
const MAX_VERSIONS = 4_096;

/** Remembers which software versions the targets of each service have, or had lately. */
export class SoftwareVersionHistory {
  /** Versions of the targets that are known now, by key. */
  private current = new Map<string, ServiceVersion>();
  /** Versions and when they were last those of a target, by key. */
  private readonly versions = new Map<
    string,
    ServiceVersion & {seenAt: number}
  >();
  /** Since when all targets have been seen, in milliseconds. */
  private observedSince: number;

  constructor(now: number) {
    this.observedSince = now;
  }

  /** Records all targets that are known from time `now` on, in milliseconds. */
  record(targets: readonly TargetAnnouncement[], now: number): void {
    this.seeCurrent(now);
    this.current = new Map(
      targets.map(({service, softwareVersion}) => {
        const version = {service, softwareVersion};
        return [keyOf(version), version] as const;
      }),
    );
    this.seeCurrent(now);
    this.removeExpired(now);
  }

  /**
   * Records the versions that began streams. Targets announce themselves to one replica of
   * control each, while origins reach all of them.
   */
  recordOrigins(origins: readonly StreamOrigin[], now: number): void {
    for (const {ageMs, service, softwareVersion} of origins) {
      this.see({service, softwareVersion}, now - ageMs);
    }
    this.removeExpired(now);
  }

  /**
   * Merges what another process saw. If `isComplete`, all targets have been announced to the
   * processes whose history was merged.
   */
  merge(other: SoftwareVersions, isComplete: boolean, now: number): void {
    for (const {ageMs, ...version} of other.versions) {
      this.see(version, now - ageMs);
    }
    if (isComplete) {
      this.observedSince = Math.min(this.observedSince, now - other.observedMs);
    }
    this.removeExpired(now);
  }

  /** Returns what this process saw, at time `now`, in milliseconds. */
  snapshot(now: number): SoftwareVersions {
    this.seeCurrent(now);
    return {
      observedMs: Math.max(0, now - this.observedSince),
      versions: [...this.versions.values()].map(({seenAt, ...version}) => ({
        ...version,
        ageMs: Math.max(0, now - seenAt),
      })),
    };
  }

  /** Whether a service has one version and, by the versions in the replicated log, never had another. */
  isOnlyVersion(
    service: string,
    recorded: readonly ServiceVersion[],
    now: number,
  ): boolean {
    const versions = recorded.filter(version => version.service === service);
    return (
      versions.length === 1 &&
      this.versionsOf(service, now).every(
        ({softwareVersion}) => softwareVersion === versions[0].softwareVersion,
      )
    );
  }

  /** The only version of a service at time `now`, in milliseconds; undefined if that is not certain. */
  onlyVersionOf(service: string, now: number): ServiceVersion | undefined {
    return this.certaintyOf(service, now) === 'one'
      ? this.versionsOf(service, now)[0]
      : undefined;
  }

  /** Whether a service has one version at time `now`, in milliseconds. */
  certaintyOf(service: string, now: number): VersionCertainty {
    const versions = this.versionsOf(service, now);
    const isAmbiguous = versions.some(
      ({softwareVersion}) => softwareVersion === undefined,
    );
    if (versions.length > 1 || isAmbiguous) {
      return 'several';
    }
    return now - this.observedSince < RETENTION_MS ? 'unknown' : 'one';
  }

  private versionsOf(service: string, now: number): ServiceVersion[] {
    return [...this.versions]
      .filter(
        ([key, version]) =>
          version.service === service &&
          (this.current.has(key) || now - version.seenAt <= RETENTION_MS),
      )
      .map(([, version]) => version);
  }

  private seeCurrent(now: number): void {
    this.current.forEach(version => this.see(version, now));
  }

  private see(version: ServiceVersion, seenAt: number): void {
    const key = keyOf(version);
    const known = this.versions.get(key)?.seenAt ?? -Infinity;
    this.versions.delete(key);
    this.versions.set(key, {...version, seenAt: Math.max(known, seenAt)});
  }

  private removeExpired(now: number): void {
    for (const [key, {seenAt}] of this.versions) {
      const isExpired = now - seenAt > RETENTION_MS;
      const isExcess = this.versions.size > MAX_VERSIONS;
      if ((isExpired || isExcess) && !this.current.has(key)) {
        this.versions.delete(key);
      }
    }
  }
}

function keyOf({service, softwareVersion}: ServiceVersion): string {
  return JSON.stringify([service, softwareVersion ?? null]);
}
