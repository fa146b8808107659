import {TRPCError} from '@trpc/server';
import {allows, type Access, type Caller} from './caller.js';

/** Throws a `FORBIDDEN` error of tRPC where a caller may not make a call. */
export function requireAccess(caller: Caller, access: Access): void {
  if (!allows(caller, access)) {
    const message = `needs ${access} rights`;
    throw new TRPCError({code: 'FORBIDDEN', message});
  }
}
