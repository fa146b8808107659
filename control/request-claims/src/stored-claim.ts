import type {Claim, ClaimOutcome, StoredAnswer} from '@marigoldspur/messages';

/** A claim with its state and, once completed, its answer. */
export interface StoredClaim {
  readonly digest: string;
  readonly request: string;
  readonly entry: string;
  readonly boot: string;
  readonly retentionMs: number;
  /** Time at which a running claim becomes unknown or an ended one is dropped, in milliseconds. */
  endsAt: number;
  state: 'running' | 'completed' | 'unknown';
  answer?: StoredAnswer;
}

/** Returns the outcome of a new claim of a key that already has a stored claim. */
export function existingClaimOutcome(
  storedClaim: StoredClaim,
  newClaim: Claim,
): ClaimOutcome {
  if (storedClaim.digest !== newClaim.digest) {
    return {outcome: 'mismatch', request: storedClaim.request};
  }
  if (storedClaim.state === 'completed') {
    return {
      outcome: 'completed',
      request: storedClaim.request,
      answer: storedClaim.answer,
    };
  }
  const isResend =
    storedClaim.request === newClaim.request &&
    storedClaim.entry === newClaim.entry &&
    storedClaim.boot === newClaim.boot;
  return storedClaim.state === 'running' && isResend
    ? {outcome: 'granted'}
    : {outcome: storedClaim.state, request: storedClaim.request};
}
