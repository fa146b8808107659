import type {StoredAnswer} from '@marigoldspur/messages';
import type {StoredClaim} from './stored-claim.js';

/** Limits of an answer store. */
export interface AnswerStoreOptions {
  /** Maximum total size of the stored answers, in bytes; beyond it the oldest are dropped. */
  readonly maxTotalAnswerBytes: number;
  /** Maximum size of a stored answer, in bytes. */
  readonly maxAnswerBytes: number;
}

/** Stores the answers of completed claims within size limits. */
export class AnswerStore {
  private totalBytes = 0;
  /** Claims with an answer, in order of completion. */
  private readonly claims = new Set<StoredClaim>();

  constructor(private readonly options: AnswerStoreOptions) {}

  /** Total size of the stored answers, in bytes. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Stores the answer of a claim unless it is too large. */
  keep(claim: StoredClaim, answer: StoredAnswer | undefined): void {
    if (answer === undefined || sizeOf(answer) > this.options.maxAnswerBytes) {
      return;
    }
    claim.answer = answer;
    this.totalBytes += sizeOf(answer);
    this.claims.add(claim);
    for (const oldest of this.claims) {
      if (this.totalBytes <= this.options.maxTotalAnswerBytes) {
        return;
      }
      this.drop(oldest);
    }
  }

  /** Drops the stored answer of a claim, if any. */
  drop(claim: StoredClaim): void {
    if (claim.answer !== undefined) {
      this.totalBytes -= sizeOf(claim.answer);
      claim.answer = undefined;
      this.claims.delete(claim);
    }
  }

  clear(): void {
    this.totalBytes = 0;
    this.claims.clear();
  }
}

function sizeOf(answer: StoredAnswer): number {
  return answer.body.length + answer.contentType.length;
}
