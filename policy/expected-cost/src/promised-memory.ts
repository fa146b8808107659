/**
 * Time after the first event of a call until reports contain its memory, in milliseconds;
 * agents' reports are up to 250 ms old.
 */
const REPORT_DELAY_MS = 300;

/** Token memory of one engine that this process's calls will take and that no report contains yet. */
export class PromisedMemory {
  private promisedTokens = 0;
  /** Promises that reports contain soon, in the order of the times from which they do. */
  private readonly reported: Array<{tokens: number; at: number}> = [];

  /** Records that a call with these tokens is sent. */
  promise(tokens: number): void {
    this.promisedTokens += tokens;
  }

  /** Records the first event of a call with these tokens at time `now`. */
  recordStart(tokens: number, now: number): void {
    this.release(now);
    this.reported.push({tokens, at: now + REPORT_DELAY_MS});
  }

  /** Withdraws the promise of a call that ended without an event. */
  withdraw(tokens: number): void {
    this.promisedTokens -= tokens;
  }

  /** Tokens that are promised at time `now` besides those in reports. */
  tokensAt(now: number): number {
    this.release(now);
    return this.promisedTokens;
  }

  private release(now: number): void {
    while (this.reported.length > 0 && this.reported[0].at <= now) {
      this.promisedTokens -= this.reported.shift()!.tokens;
    }
  }
}
