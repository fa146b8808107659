import type {Finding} from '@marigoldspur/faults';

/**
 * An `error` is a reason for which control does not apply a deployment, a `warning` is probably a
 * mistake, and a `change` is a difference from the deployment in force.
 */
export type Severity = 'error' | 'warning' | 'change';

/** A finding about a deployment. */
export interface ReviewFinding extends Finding {
  readonly severity: Severity;
}

/** Creates a warning about the entry at `place`. */
export function createWarning(place: string, reason: string): ReviewFinding {
  return {severity: 'warning', place, reason};
}

/** Creates a finding about a difference of the entry at `place`. */
export function createChange(place: string, reason: string): ReviewFinding {
  return {severity: 'change', place, reason};
}
