import {TRPCError} from '@trpc/server';
import {hasAccess, type AccessLevel, type Caller} from './caller.js';

/** Throws a `FORBIDDEN` error of tRPC where a caller may not make a call. */
export function requireAccess(caller: Caller, access: AccessLevel): void {
  if (!hasAccess(caller, access)) {
    const message = `needs ${access} rights`;
    throw new TRPCError({code: 'FORBIDDEN', message});
  }
}
