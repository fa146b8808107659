import type {StoredAnswer} from '@marigoldspur/messages';
import type {StoredClaim} from './stored-claim.js';

/** Bounds of kept answers. */
export interface AnswerStoreOptions {
  /** Bytes of all; beyond it the oldest are dropped. */
  readonly maxAnswerBytes: number;
  /** Largest one that is kept, in bytes. */
  readonly maxAnswerSize: number;
}

/** Keeps the answers of completed claims within bounds. */
export class AnswerStore {
  private held = 0;
  /** Rows with an answer, in the order of their ends. */
  private readonly rows = new Set<StoredClaim>();

  constructor(private readonly options: AnswerStoreOptions) {}

  /** Bytes of the answers kept now. */
  get bytes(): number {
    return this.held;
  }

  /** Keeps the answer of a row; one that is too large is not kept. */
  keep(row: StoredClaim, answer: StoredAnswer | undefined): void {
    if (answer === undefined || sizeOf(answer) > this.options.maxAnswerSize) {
      return;
    }
    row.answer = answer;
    this.held += sizeOf(answer);
    this.rows.add(row);
    for (const oldest of this.rows) {
      if (this.held <= this.options.maxAnswerBytes) {
        return;
      }
      this.drop(oldest);
    }
  }

  /** Drops the answer of a row, where one is kept. */
  drop(row: StoredClaim): void {
    if (row.answer !== undefined) {
      this.held -= sizeOf(row.answer);
      row.answer = undefined;
      this.rows.delete(row);
    }
  }

  clear(): void {
    this.held = 0;
    this.rows.clear();
  }
}

function sizeOf(answer: StoredAnswer): number {
  return answer.body.length + answer.contentType.length;
}
