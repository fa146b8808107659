import {createHash} from 'node:crypto';

/**
 * Header of a request for the fleet stream: the digest of the named versions that the follower
 * knows. A replica that knows just these leaves them out of the state.
 */
export const KNOWN_VERSIONS_HEADER = 'known-versions';

/** Digest of the newest named version of each adapter, by the names of `adapterName`. */
export function digestVersions(
  versions: Iterable<readonly [name: string, version: number]>,
): string {
  const lines = [...versions].map(row => JSON.stringify(row)).sort();
  return createHash('sha256').update(lines.join('\n')).digest('base64url');
}
