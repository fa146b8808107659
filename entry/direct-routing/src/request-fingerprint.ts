import {createHash} from 'node:crypto';
import type {RequestBody} from '@marigoldspur/request-bodies';

/** What makes two requests the same, whatever their request IDs. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  /** Path with its query string. */
  readonly path: string;
  /** Credentials of the caller; undefined if it sent none. */
  readonly credentials: string | undefined;
  readonly body: Pick<RequestBody, 'pieces'>;
}

/** Length of a fingerprint, in hexadecimal digits. */
export const FINGERPRINT_LENGTH = 32;

/** Returns the fingerprint of a request. */
export function fingerprintRequest({
  body,
  credentials = '',
  host,
  method,
  path,
}: RequestIdentity): string {
  const head = JSON.stringify([method, host, path, credentials]);
  const hash = createHash('sha256').update(head).update('\n');
  body.pieces.forEach(piece => hash.update(piece));
  return hash.digest('hex').slice(0, FINGERPRINT_LENGTH);
}

/** Returns a function that computes the fingerprint of a request once, when it is first needed. */
export function createLazyFingerprint(identity: RequestIdentity): () => string {
  let fingerprint: string | undefined;
  return () => (fingerprint ??= fingerprintRequest(identity));
}
