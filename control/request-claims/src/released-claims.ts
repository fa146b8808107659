/** A released claim, by key and request, and the time until which it is remembered. */
export type ReleasedClaim = readonly [string, number];

/** Time for which a released claim is remembered; a claim call is in transit for much less. */
const RETENTION_MS = 600_000;
/** Maximum number of remembered claims; beyond it the oldest are dropped. */
const MAX_RELEASED_CLAIMS = 10_000;

/**
 * Claims that their requests recently released without running. Times are those of the
 * claim state's clock, which only increases.
 */
export class ReleasedClaims {
  /** Time until which each claim is remembered, in milliseconds, earliest first. */
  private readonly claims = new Map<string, number>();

  /** Records that a request released its claim of a key. */
  add(key: string, request: string, now: number): void {
    const id = releaseId(key, request);
    this.claims.delete(id);
    this.claims.set(id, now + RETENTION_MS);
    if (this.claims.size > MAX_RELEASED_CLAIMS) {
      this.claims.delete(this.claims.keys().next().value!);
    }
  }

  /** Whether a request recently released its claim of a key. */
  has(key: string, request: string, now: number): boolean {
    return (this.claims.get(releaseId(key, request)) ?? -Infinity) > now;
  }

  /** Removes the claims whose retention has ended. */
  expire(now: number): void {
    for (const [id, keptUntil] of this.claims) {
      if (keptUntil > now) {
        return;
      }
      this.claims.delete(id);
    }
  }

  snapshot(): ReleasedClaim[] {
    return [...this.claims];
  }

  restore(claims: readonly ReleasedClaim[]): void {
    this.claims.clear();
    claims.forEach(([id, keptUntil]) => this.claims.set(id, keptUntil));
  }
}

function releaseId(key: string, request: string): string {
  return JSON.stringify([key, request]);
}
