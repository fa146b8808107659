const BURST_TOKENS = 10;

/** Keeps retries below a share of requests: each request earns it, each retry costs one token. */
export class RetryBudget {
  private tokens = BURST_TOKENS;

  /** Counts a request; `ratio` is the share of requests that may be retries. */
  earn(ratio: number): void {
    this.tokens = Math.min(BURST_TOKENS, this.tokens + ratio);
  }

  /** Takes a token for one retry; false when none is left. */
  spend(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
