/** Time without a refusal after which the next one begins a new spell, in milliseconds. */
const SPELL_GAP_MS = 10_000;

/** Reports refusals once for each spell of them. */
export class RefusalSpell {
  private lastAt = -Infinity;

  constructor(private readonly onBegin: () => void) {}

  /** Records a refusal at time `now`, in milliseconds. */
  recordRefusal(now: number): void {
    const begins = now - this.lastAt > SPELL_GAP_MS;
    this.lastAt = now;
    if (begins) {
      this.onBegin();
    }
  }
}
