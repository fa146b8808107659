/** Maximum number of parts that are remembered. */
const MAX_PARTS = 8_192;
/** Time for which a complete answer is remembered, in milliseconds. */
const MEMORY_MS = 300_000;

/** Remembers when this process last saw a complete answer to a call with each part of a prompt. */
export class CompletedParts {
  /** Times by model and part, the oldest first. */
  private readonly times = new Map<string, number>();

  /** Records a complete answer at time `now`, in milliseconds, to a call with these parts. */
  record(model: string, parts: readonly string[], now: number): void {
    for (const part of parts) {
      const key = `${model} ${part}`;
      this.times.delete(key);
      this.times.set(key, now);
    }
    for (const [key, at] of this.times) {
      if (this.times.size <= MAX_PARTS && now - at <= MEMORY_MS) {
        return;
      }
      this.times.delete(key);
    }
  }

  /** When a call with a part was last answered completely; undefined if it is not known. */
  lastAt(model: string, part: string): number | undefined {
    return this.times.get(`${model} ${part}`);
  }
}
