import type {Charge} from '@marigoldspur/entry-quotas';
import {Refusal} from '@marigoldspur/faults';

const RETRY_AFTER_SECONDS = 0.5;
const EXPIRED_REASON = 'quota_units_expired';

/** Why a call must not be written to a target with its charge; undefined if it may be. */
export function findChargeRefusal(
  charge: Pick<Charge, 'mayBeUsed'>,
): Refusal | undefined {
  return charge.mayBeUsed
    ? undefined
    : new Refusal(
        'not-run',
        503,
        EXPIRED_REASON,
        'the units of the quota expired before the call was written to its target',
        RETRY_AFTER_SECONDS,
      );
}

/** Whether an attempt ended because its units expired, which says nothing about its target. */
export function hasExpired({reason}: Refusal): boolean {
  return reason === EXPIRED_REASON;
}
