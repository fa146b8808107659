import {type Finding, formatFindings} from './finding.js';

/** The codes of errors that cross a package or a process boundary. */
export type FaultCode =
  | 'INVALID_INPUT'
  | 'NOT_LEADER'
  | 'NO_QUORUM'
  | 'CONFLICT'
  | 'NOT_FOUND'
  | 'UNAVAILABLE'
  | 'TIMEOUT'
  | 'TORN_ANSWER'
  | 'TOO_LARGE'
  | 'CORRUPT_DATA'
  | 'DISK_FULL'
  | 'DISK_FAILED'
  | 'STOPPING'
  | 'FENCED'
  | 'FORBIDDEN'
  | 'LOAD_FAILED'
  | 'REFUSED'
  | 'INTERNAL';

/** An error with a code that callers can act on. */
export class Fault extends Error {
  constructor(
    readonly code: FaultCode,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = 'Fault';
  }
}

/** The error of a rejected input, with all findings. */
export class InvalidInput extends Fault {
  constructor(readonly findings: readonly Finding[]) {
    super('INVALID_INPUT', formatFindings(findings));
    this.name = 'InvalidInput';
  }
}

/** Converts a thrown value to a fault; a value that is not a fault becomes the cause of an `INTERNAL` fault. */
export function toFault(thrown: unknown): Fault {
  if (thrown instanceof Fault) {
    return thrown;
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new Fault('INTERNAL', message, {cause: thrown});
}
