/** Who makes a call to a process. */
export type Caller =
  /** A process of the system, by its certificate. */
  | {readonly kind: 'process'}
  /** An operator, by a token. */
  | {
      readonly kind: 'operator';
      readonly name: string;
      readonly role: 'viewer' | 'operator';
    }
  /** Nobody that is known. */
  | {readonly kind: 'anonymous'};

/** What a call needs: to be a process, to change things, or to see them. */
export type AccessLevel = 'process' | 'operator' | 'viewer';

/** Context of each tRPC call. */
export interface CallContext {
  readonly caller: Caller;
}

/** Whether a caller may make a call. Processes may make every call. */
export function hasAccess(caller: Caller, access: AccessLevel): boolean {
  switch (caller.kind) {
    case 'process':
      return true;
    case 'operator':
      return access === 'viewer' || access === caller.role;
    case 'anonymous':
      return false;
  }
}
