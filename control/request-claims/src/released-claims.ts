/** A claim given back, by key and request, and until when it is remembered. */
export type ReleasedClaim = readonly [string, number];

/** Far longer than a call of a claim may be on its way, in milliseconds. */
const KEPT_MS = 600_000;
/** Claims that are remembered at once; the oldest are dropped. */
const MAX_ROWS = 10_000;

/** The claims that their requests gave back of late. Times are of the state's clock, which only rises. */
export class ReleasedClaims {
  /** In the order in which they are forgotten. */
  private readonly rows = new Map<string, number>();

  /** Remembers that a request gave back its claim of a key. */
  add(key: string, request: string, now: number): void {
    const row = rowOf(key, request);
    this.rows.delete(row);
    this.rows.set(row, now + KEPT_MS);
    if (this.rows.size > MAX_ROWS) {
      this.rows.delete(this.rows.keys().next().value!);
    }
  }

  /** Whether a request gave back its claim of a key. */
  has(key: string, request: string, now: number): boolean {
    return (this.rows.get(rowOf(key, request)) ?? -Infinity) > now;
  }

  /** Forgets what was given back long ago. */
  expire(now: number): void {
    for (const [row, keptUntil] of this.rows) {
      if (keptUntil > now) {
        return;
      }
      this.rows.delete(row);
    }
  }

  snapshot(): ReleasedClaim[] {
    return [...this.rows];
  }

  restore(rows: readonly ReleasedClaim[]): void {
    this.rows.clear();
    rows.forEach(([row, keptUntil]) => this.rows.set(row, keptUntil));
  }
}

function rowOf(key: string, request: string): string {
  return JSON.stringify([key, request]);
}
