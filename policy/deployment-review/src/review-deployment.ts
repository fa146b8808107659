import type {Deployment} from '@marigoldspur/deployment';
import {findContradictingLimits} from './contradicting-limits.js';
import {findChanges} from './deployment-changes.js';
import {findIneffectiveEntries} from './ineffective-entries.js';
import type {ReviewFinding} from './review-finding.js';

/**
 * Reviews a deployment that `validateDeployment` accepts, and compares it with the one in force if
 * that is given. The findings hold no keys of tenants.
 */
export function reviewDeployment(
  deployment: Deployment,
  inForce?: Deployment,
): ReviewFinding[] {
  return [
    ...(inForce === undefined ? [] : checkRevision(deployment, inForce)),
    ...findIneffectiveEntries(deployment),
    ...findContradictingLimits(deployment),
    ...(inForce === undefined ? [] : findChanges(inForce, deployment)),
  ];
}

/** Control accepts a deployment whose revision is not the highest so far, but does not apply it. */
function checkRevision(
  {revision}: Deployment,
  inForce: Deployment,
): ReviewFinding[] {
  if (revision > inForce.revision) {
    return [];
  }
  const reason = `revision ${revision} is not higher than revision ${inForce.revision}, which is in force`;
  return [{severity: 'error', place: 'revision', reason}];
}
