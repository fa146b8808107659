import {Fault} from '@marigoldspur/faults';

/** Collects the latest fault of each replica of control. */
export class ReplicaFaults {
  private readonly faults = new Map<string, Fault>();

  /**
   * Records the latest fault of a replica. A timeout of an attempt that the deadline of the
   * call shortened does not replace an earlier fault, because it says less.
   */
  record(url: string, fault: Fault, isShortened: boolean): void {
    if (isShortened && isTimeout(fault.cause) && this.faults.has(url)) {
      return;
    }
    this.faults.delete(url);
    this.faults.set(url, fault);
  }

  /** Returns one fault that lists the fault of each replica and has the code of the latest one. */
  combinedFault(): Fault {
    const last = [...this.faults.values()].at(-1);
    const reasons = [...this.faults].map(
      ([url, fault]) => `${url} ${describeFault(fault)}`,
    );
    const message = ['no replica of control answered as leader', ...reasons];
    const code = last?.code ?? 'UNAVAILABLE';
    return new Fault(code, message.join('; '), {cause: last});
  }
}

function describeFault({code, message, cause}: Fault): string {
  switch (code) {
    case 'NOT_LEADER':
      return message === ''
        ? 'reports no leader'
        : `reports ${message} as leader`;
    case 'UNAVAILABLE':
      return isTimeout(cause) ? 'did not answer in time' : message;
    default:
      return message;
  }
}

function isTimeout(cause: unknown): boolean {
  for (let error = cause; error instanceof Error; error = error.cause) {
    if (error.name === 'TimeoutError' || error.name === 'AbortError') {
      return true;
    }
  }
  return false;
}
