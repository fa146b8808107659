import type {PlacementCandidate} from './placement-policy.js';

interface Choice {
  readonly target: string;
  readonly until: number;
}

/** Remembers for a while which target was chosen for an adapter. */
export class RecentChoices {
  private readonly choices = new Map<string, Choice>();

  /** `keepMs` is how long a choice is remembered, in milliseconds. */
  constructor(private readonly keepMs: number) {}

  /** Remembers a choice made at time `now`, in milliseconds. */
  record(model: string, target: string, now: number): void {
    this.forget(now);
    this.choices.delete(model);
    this.choices.set(model, {target, until: now + this.keepMs});
  }

  /** Whether the last choice for the adapter is this target and still remembered. */
  has(model: string, target: string, now: number): boolean {
    const choice = this.choices.get(model);
    return choice?.target === target && choice.until > now;
  }

  /** Adapters sent to a target that its report does not show yet. */
  countUnreported(candidate: PlacementCandidate, now: number): number {
    let count = 0;
    for (const [model, choice] of this.choices) {
      const isComing =
        choice.target === candidate.name &&
        choice.until > now &&
        !candidate.resident.has(model) &&
        candidate.loading?.has(model) !== true;
      count += Number(isComing);
    }
    return count;
  }

  private forget(now: number): void {
    for (const [model, choice] of this.choices) {
      if (choice.until > now) {
        return;
      }
      this.choices.delete(model);
    }
  }
}
