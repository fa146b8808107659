/** Options of {@link SeenAttempts}. */
export interface SeenAttemptsOptions {
  /** How long an attempt is stored, in milliseconds. */
  readonly retentionMs?: number;
  /** Maximum number of stored attempts. */
  readonly maxAttempts?: number;
}

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_ATTEMPTS = 50_000;

/**
 * Stores the IDs of received attempts, so that no attempt runs twice on one
 * agent.
 */
export class SeenAttempts {
  private readonly seenAt = new Map<string, number>();

  constructor(private readonly options: SeenAttemptsOptions = {}) {}

  /** Adds an attempt; returns false if it was added before. */
  add(attempt: string, now: number): boolean {
    this.removeOld(now);
    if (this.seenAt.has(attempt)) {
      return false;
    }
    this.seenAt.set(attempt, now);
    return true;
  }

  private removeOld(now: number): void {
    const {
      retentionMs = DEFAULT_RETENTION_MS,
      maxAttempts = DEFAULT_MAX_ATTEMPTS,
    } = this.options;
    for (const [attempt, seenAt] of this.seenAt) {
      if (this.seenAt.size < maxAttempts && now - seenAt < retentionMs) {
        return;
      }
      this.seenAt.delete(attempt);
    }
  }
}
