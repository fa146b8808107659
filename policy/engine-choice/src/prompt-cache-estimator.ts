/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts that are remembered of one engine; the longest unused are forgotten. */
const MAX_PARTS = 4_096;
/** An engine under load overwrites what was not used for so long, in milliseconds. */
const FORGET_MS = 30_000;

/**
 * The prompt parts that an engine was sent lately for each adapter, as an estimate of
 * what its cache holds: a part counts only where all parts before it do.
 */
export class PromptCacheEstimator {
  private readonly usedAt = new Map<string, number>();

  /** Takes note of a prompt that was sent at time `now`, in milliseconds. */
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

  /** Tokens of the prompt's beginning that the engine is thought to have cached. */
  cachedTokens(
    adapter: string,
    parts: readonly PromptPart[],
    now: number,
  ): number {
    let tokens = 0;
    for (const part of parts) {
      const at = this.usedAt.get(`${adapter} ${part.id}`);
      if (at === undefined || now - at > FORGET_MS) {
        return tokens;
      }
      tokens += part.tokens;
    }
    return tokens;
  }
}
