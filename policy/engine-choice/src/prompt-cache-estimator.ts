/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Maximum number of parts that are kept per engine; the least recently used
 * ones are evicted.
 */
const MAX_PARTS = 4_096;
/**
 * Time after which an engine under load has overwritten unused cache entries,
 * in milliseconds.
 */
const EXPIRY_MS = 30_000;

/**
 * Estimates what an engine's prompt cache holds from the prompt parts recently
 * sent to it for each adapter. A part counts only if all parts before it count.
 */
export class PromptCacheEstimator {
  private readonly usedAt = new Map<string, number>();

  /** Records a prompt that was sent at time `now`, in milliseconds. */
  recordPrompt(
    adapter: string,
    parts: readonly PromptPart[],
    now: number,
  ): void {
    for (const {id} of parts) {
      const key = `${adapter} ${id}`;
      this.usedAt.delete(key);
      this.usedAt.set(key, now);
    }
    while (this.usedAt.size > MAX_PARTS) {
      this.usedAt.delete(this.usedAt.keys().next().value!);
    }
  }

  /**
   * Tokens at the start of the prompt that the engine is expected to have
   * cached.
   */
  cachedTokens(
    adapter: string,
    parts: readonly PromptPart[],
    now: number,
  ): number {
    let tokens = 0;
    for (const part of parts) {
      const lastUsedAt = this.usedAt.get(`${adapter} ${part.id}`);
      if (lastUsedAt === undefined || now - lastUsedAt > EXPIRY_MS) {
        return tokens;
      }
      tokens += part.tokens;
    }
    return tokens;
  }
}
