import type {Claim, ClaimOutcome, StoredAnswer} from '@marigoldspur/messages';

/** A claim as it is kept. */
export interface StoredClaim {
  readonly digest: string;
  readonly request: string;
  readonly entry: string;
  readonly boot: string;
  readonly retentionMs: number;
  /** When a running claim counts as unknown, or an ended one is dropped, in milliseconds. */
  endsAt: number;
  state: 'running' | 'completed' | 'unknown';
  answer?: StoredAnswer;
}

/** What a kept claim answers to a further claim of its key. */
export function existingClaimOutcome(
  row: StoredClaim,
  claim: Claim,
): ClaimOutcome {
  if (row.digest !== claim.digest) {
    return {outcome: 'mismatch', request: row.request};
  }
  if (row.state === 'completed') {
    return {outcome: 'completed', request: row.request, answer: row.answer};
  }
  const isResend =
    row.request === claim.request &&
    row.entry === claim.entry &&
    row.boot === claim.boot;
  return row.state === 'running' && isResend
    ? {outcome: 'granted'}
    : {outcome: row.state, request: row.request};
}
