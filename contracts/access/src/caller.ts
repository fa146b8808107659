/** The caller of a process. */
export type Caller =
  /** A process of the system, identified by its certificate. */
  | {readonly kind: 'process'}
  /** An operator, identified by a token. */
  | {
      readonly kind: 'operator';
      readonly name: string;
      readonly role: 'viewer' | 'operator';
    }
  /** A caller without a valid certificate or token. */
  | {readonly kind: 'anonymous'};

/** Access that a call requires: `process` for processes of the system only, `operator` to change, `viewer` to read. */
export type AccessLevel = 'process' | 'operator' | 'viewer';

/** Context of each tRPC call. */
export interface CallContext {
  readonly caller: Caller;
}

/** Returns whether a caller has the access that a call requires. Processes may make every call. */
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
