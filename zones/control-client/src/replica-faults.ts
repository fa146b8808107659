import {Fault} from '@marigoldspur/faults';

/** What the replicas of control last answered in place of a result. */
export class ReplicaFaults {
  private readonly faults = new Map<string, Fault>();

  /** Notes the fault of a replica. */
  record(url: string, fault: Fault): void {
    this.faults.delete(url);
    this.faults.set(url, fault);
  }

  /** One fault that names what each replica answered; its code is the last one's. */
  toFault(): Fault {
    const last = [...this.faults.values()].at(-1);
    const reasons = [...this.faults].map(
      ([url, fault]) => `${url} ${reasonOf(fault)}`,
    );
    const message = ['no replica of control answered as leader', ...reasons];
    const code = last?.code ?? 'UNAVAILABLE';
    return new Fault(code, message.join('; '), {cause: last});
  }
}

function reasonOf({code, message, cause}: Fault): string {
  switch (code) {
    case 'NOT_LEADER':
      return message === '' ? 'knows no leader' : `names ${message}`;
    case 'UNAVAILABLE':
      return isTimeout(cause) ? 'gave no answer in time' : message;
    default:
      return message;
  }
}

function isTimeout(cause: unknown): boolean {
  for (let next = cause; next instanceof Error; next = next.cause) {
    if (next.name === 'TimeoutError' || next.name === 'AbortError') {
      return true;
    }
  }
  return false;
}
