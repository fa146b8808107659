import {Result} from 'true-myth';
import type {LogPosition} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';

interface Proposal<Answer> {
  readonly term: number;
  readonly resolve: (result: Result<Answer, Fault>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Proposals of this replica that are not applied yet. */
export class PendingProposals<Answer> {
  private readonly proposals = new Map<number, Proposal<Answer>>();

  constructor(private readonly timeoutMs: number) {}

  /** Proposals that wait. */
  get size(): number {
    return this.proposals.size;
  }

  /** Waits for the entry at a place; `TIMEOUT` leaves its outcome open. */
  add(position: LogPosition): Promise<Result<Answer, Fault>> {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.settle(
          position.index,
          openFault('TIMEOUT', 'no majority in time'),
        );
      }, this.timeoutMs);
      const proposal = {term: position.term, resolve, timer};
      this.proposals.set(position.index, proposal);
    });
  }

  /** An entry was applied. */
  resolveApplied(position: LogPosition, answer: Answer): void {
    const proposal = this.proposals.get(position.index);
    if (proposal === undefined) {
      return;
    }
    this.settle(
      position.index,
      proposal.term === position.term
        ? Result.ok(answer)
        : openFault('NO_QUORUM', 'another leader took the place'),
    );
  }

  /** Ends the proposals of other terms than `term`, with their outcome open. */
  failOtherTerms(term: number | undefined): void {
    for (const [index, proposal] of [...this.proposals]) {
      if (proposal.term !== term) {
        this.settle(index, openFault('NO_QUORUM', 'leadership was lost'));
      }
    }
  }

  private settle(index: number, result: Result<Answer, Fault>): void {
    const proposal = this.proposals.get(index);
    if (proposal !== undefined) {
      this.proposals.delete(index);
      clearTimeout(proposal.timer);
      proposal.resolve(result);
    }
  }
}

function openFault<Answer>(
  code: 'TIMEOUT' | 'NO_QUORUM',
  reason: string,
): Result<Answer, Fault> {
  return Result.err(new Fault(code, `${reason}; the outcome is open`));
}
