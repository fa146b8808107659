import {TRPCError} from '@trpc/server';
import {hasAccess, type AccessLevel, type Caller} from './caller.js';

/** Throws a tRPC error with the code `FORBIDDEN` if the caller lacks the required access. */
export function requireAccess(caller: Caller, access: AccessLevel): void {
  if (!hasAccess(caller, access)) {
    const message = `the call requires ${access} access`;
    throw new TRPCError({code: 'FORBIDDEN', message});
  }
}
