import type {ServiceVersion, VersionEvidence} from '@marigoldspur/deployment';
import type {SoftwareVersionHistory} from './software-version-history.js';

/**
 * Finds the only software version that can have begun streams of a service before the replicas
 * of control were asked; undefined if there may have been several. Targets begin streams only
 * once their version is in the replicated log, so a service with one version there never had
 * another. If it had several, all replicas must have seen one version alone lately, since targets
 * announce themselves to one replica each.
 */
export function findOnlyVersion(
  service: string,
  evidence: ReadonlyMap<string, VersionEvidence>,
  history: SoftwareVersionHistory,
  now: number,
): ServiceVersion | undefined {
  const confirmed = [...evidence.values()].flatMap(
    ({confirmed: state}) => state ?? [],
  );
  for (const {recent} of evidence.values()) {
    history.merge(recent, false, now);
  }
  // Versions are only ever added to the log.
  const [newest] = confirmed.sort(
    (a, b) => b.versions.length - a.versions.length,
  );
  if (newest === undefined) {
    return undefined;
  }
  if (history.isOnlyVersion(service, newest.versions, now)) {
    return newest.versions[0];
  }
  const haveAllAnswered = newest.replicas.every(url => evidence.has(url));
  return newest.versions.length > 1 && haveAllAnswered
    ? history.onlyVersionOf(service, now)
    : undefined;
}
