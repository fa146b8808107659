import {Result} from 'true-myth';
import type {LogPosition} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';

interface Proposal<Answer> {
  readonly term: number;
  readonly resolve: (result: Result<Answer, Fault>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Proposed commands of this replica that are not applied yet. */
export class PendingProposals<Answer> {
  private readonly proposals = new Map<number, Proposal<Answer>>();

  constructor(private readonly timeoutMs: number) {}

  /** Number of pending proposals. */
  get size(): number {
    return this.proposals.size;
  }

  /**
   * Waits until the entry at a position is applied. After `TIMEOUT` the outcome is
   * unknown.
   */
  add(position: LogPosition): Promise<Result<Answer, Fault>> {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.settle(
          position.index,
          unknownOutcome(
            'TIMEOUT',
            'no majority confirmed the command in time',
          ),
        );
      }, this.timeoutMs);
      const proposal = {term: position.term, resolve, timer};
      this.proposals.set(position.index, proposal);
    });
  }

  /** Resolves the proposal of an entry that was applied. */
  resolveApplied(position: LogPosition, answer: Answer): void {
    const proposal = this.proposals.get(position.index);
    if (proposal === undefined) {
      return;
    }
    this.settle(
      position.index,
      proposal.term === position.term
        ? Result.ok(answer)
        : unknownOutcome(
            'NO_QUORUM',
            'an entry of another leader was committed in place of the command',
          ),
    );
  }

  /** Fails the proposals of terms other than `term`; their outcome is unknown. */
  failOtherTerms(term: number | undefined): void {
    for (const [index, proposal] of [...this.proposals]) {
      if (proposal.term !== term) {
        this.settle(index, unknownOutcome('NO_QUORUM', 'leadership was lost'));
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

function unknownOutcome<Answer>(
  code: 'TIMEOUT' | 'NO_QUORUM',
  reason: string,
): Result<Answer, Fault> {
  return Result.err(new Fault(code, `${reason}; the outcome is unknown`));
}
