import {createHash} from 'node:crypto';

/** The digest under which a key file lists a secret: SHA-256, in hex. */
export function secretDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}
