import type {
  SoftwareVersionRecord,
  SoftwareVersions,
  TargetAnnouncement,
} from '@marigoldspur/deployment';

/**
 * Whether the targets of a service have one software version; `unknown` if they may have had
 * others before this process could see it.
 */
export type VersionCertainty = 'one' | 'several' | 'unknown';

/** Time for which a version without targets is remembered, in milliseconds. */
const RETENTION_MS = 60_000;
/** Time after which all targets have announced themselves, in milliseconds. */
const SETTLE_MS = 10_000;
/** Maximum number of versions of all services that are remembered. */
const MAX_VERSIONS = 4_096;

/** Remembers which software versions the targets of each service had lately. */
export class SoftwareVersionHistory {
  private readonly versions = new Map<
    string,
    Omit<SoftwareVersionRecord, 'ageMs'> & {seenAt: number}
  >();
  /** Since when all targets have been seen, in milliseconds. */
  private observedSince: number;

  constructor(now: number) {
    this.observedSince = now;
  }

  /** Records the versions of the known targets at time `now`, in milliseconds. */
  record(targets: readonly TargetAnnouncement[], now: number): void {
    for (const {service, softwareVersion} of targets) {
      this.see({service, softwareVersion}, now);
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
    return {
      observedMs: Math.max(0, now - this.observedSince),
      versions: [...this.versions.values()].map(({seenAt, ...version}) => ({
        ...version,
        ageMs: Math.max(0, now - seenAt),
      })),
    };
  }

  /** Whether a service has one version at time `now`, in milliseconds. */
  certaintyOf(service: string, now: number): VersionCertainty {
    const versions = [...this.versions.values()].filter(
      version =>
        version.service === service && now - version.seenAt <= RETENTION_MS,
    );
    const isAmbiguous = versions.some(
      ({softwareVersion}) => softwareVersion === undefined,
    );
    if (versions.length > 1 || isAmbiguous) {
      return 'several';
    }
    return now - this.observedSince < SETTLE_MS ? 'unknown' : 'one';
  }

  private see(
    version: Omit<SoftwareVersionRecord, 'ageMs'>,
    seenAt: number,
  ): void {
    const key = JSON.stringify([
      version.service,
      version.softwareVersion ?? null,
    ]);
    const known = this.versions.get(key)?.seenAt ?? -Infinity;
    this.versions.delete(key);
    this.versions.set(key, {...version, seenAt: Math.max(known, seenAt)});
  }

  private removeExpired(now: number): void {
    for (const [key, {seenAt}] of this.versions) {
      const isExpired = now - seenAt > RETENTION_MS;
      if (isExpired || this.versions.size > MAX_VERSIONS) {
        this.versions.delete(key);
      }
    }
  }
}
