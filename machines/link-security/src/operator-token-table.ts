import type {IncomingMessage} from 'node:http';
import {
  secretDigest,
  type Caller,
  type OperatorTokens,
} from '@marigoldspur/access';

const BEARER_PREFIX = 'Bearer ';

/** Finds operators by the tokens of their requests. */
export class OperatorTokenTable {
  constructor(private readonly tokens: () => OperatorTokens) {}

  /** Returns the operator of a request, or an anonymous caller if the token is unknown or missing. */
  callerOf(request: IncomingMessage): Caller {
    const header = request.headers.authorization ?? '';
    if (!header.startsWith(BEARER_PREFIX)) {
      return {kind: 'anonymous'};
    }
    const digest = secretDigest(header.slice(BEARER_PREFIX.length));
    const token = this.tokens().tokens.find(entry => entry.sha256 === digest);
    return token === undefined
      ? {kind: 'anonymous'}
      : {kind: 'operator', name: token.name, role: token.role};
  }
}
