import type {PlacementCandidate} from './placement-policy.js';

interface Choice {
  readonly target: string;
  readonly expiresAt: number;
}

/** Remembers for a limited time which target was chosen for an adapter. */
export class RecentChoices {
  private readonly choices = new Map<string, Choice>();

  /** `ttlMs` is how long a choice is remembered, in milliseconds. */
  constructor(private readonly ttlMs: number) {}

  /** Records a choice made at time `now`, in milliseconds. */
  record(model: string, target: string, now: number): void {
    this.removeExpired(now);
    this.choices.delete(model);
    this.choices.set(model, {target, expiresAt: now + this.ttlMs});
  }

  /**
   * Whether the last choice for the adapter is this target and has not expired.
   */
  has(model: string, target: string, now: number): boolean {
    const choice = this.choices.get(model);
    return choice?.target === target && choice.expiresAt > now;
  }

  /** Number of adapters sent to a target that its report does not show yet. */
  countUnreported(candidate: PlacementCandidate, now: number): number {
    let count = 0;
    for (const [model, choice] of this.choices) {
      const isUnreported =
        choice.target === candidate.name &&
        choice.expiresAt > now &&
        !candidate.resident.has(model) &&
        candidate.loading?.has(model) !== true;
      count += Number(isUnreported);
    }
    return count;
  }

  private removeExpired(now: number): void {
    for (const [model, choice] of this.choices) {
      if (choice.expiresAt > now) {
        return;
      }
      this.choices.delete(model);
    }
  }
}
