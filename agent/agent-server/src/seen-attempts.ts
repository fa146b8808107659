/** Options of the memory of seen attempts. */
export interface SeenAttemptsOptions {
  /** How long an attempt is remembered, in milliseconds. */
  readonly keepMs?: number;
  /** Attempts remembered at most. */
  readonly limit?: number;
}

const DEFAULT_KEEP_MS = 600_000;
const DEFAULT_LIMIT = 50_000;

/** Remembers attempts, so that none runs twice at one agent. */
export class SeenAttempts {
  private readonly seenAt = new Map<string, number>();

  constructor(private readonly options: SeenAttemptsOptions = {}) {}

  /** Takes note of an attempt; false when it came before. */
  add(attempt: string, now: number): boolean {
    this.forget(now);
    if (this.seenAt.has(attempt)) {
      return false;
    }
    this.seenAt.set(attempt, now);
    return true;
  }

  private forget(now: number): void {
    const {keepMs = DEFAULT_KEEP_MS, limit = DEFAULT_LIMIT} = this.options;
    for (const [attempt, seenAt] of this.seenAt) {
      if (this.seenAt.size < limit && now - seenAt < keepMs) {
        return;
      }
      this.seenAt.delete(attempt);
    }
  }
}
