import type {IncomingMessage} from 'node:http';
import {
  secretDigest,
  type Caller,
  type OperatorTokens,
} from '@marigoldspur/access';

const BEARER = 'Bearer ';

/** Finds the operator that a request's token belongs to. */
export class OperatorTokenTable {
  constructor(private readonly tokens: () => OperatorTokens) {}

  /** The operator of a request, or nobody. */
  callerOf(request: IncomingMessage): Caller {
    const header = request.headers.authorization ?? '';
    if (!header.startsWith(BEARER)) {
      return {kind: 'anonymous'};
    }
    const digest = secretDigest(header.slice(BEARER.length));
    const token = this.tokens().tokens.find(each => each.sha256 === digest);
    return token === undefined
      ? {kind: 'anonymous'}
      : {kind: 'operator', name: token.name, role: token.role};
  }
}
