import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of a secret in hex, as key files list it. */
export function secretDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}
