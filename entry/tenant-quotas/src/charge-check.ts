import {Refusal} from '@marigoldspur/faults';
import type {Charge} from './call-charge.js';

/** What a call is charged, and to whom. */
export interface TenantCharge {
  readonly charge: Charge;
  /** Name of the tenant; undefined if the call has none. */
  readonly chargedTenant: string | undefined;
}

const RETRY_AFTER_SECONDS = 0.5;
const EXPIRED_REASON = 'quota_units_expired';
const TENANT_REASON = 'tenant_changed';

/**
 * Why a call must not be written to a target with its charge; undefined if it may be. `tenant` is the
 * name of the tenant that the call counts for now; undefined if it has none.
 */
export function findChargeRefusal(
  {charge, chargedTenant}: TenantCharge,
  tenant: string | undefined,
): Refusal | undefined {
  if (tenant !== chargedTenant) {
    const message = 'the key of the call belongs to another tenant now';
    return createRefusal(TENANT_REASON, message);
  }
  return charge.mayBeUsed
    ? undefined
    : createRefusal(
        EXPIRED_REASON,
        'the units of the quota expired before the call was written to its target',
      );
}

/** Whether an attempt ended because its units expired, which says nothing about its target. */
export function isExpiredCharge({reason}: Refusal): boolean {
  return reason === EXPIRED_REASON;
}

/** Whether an attempt ended because its call was charged to another tenant; no other one can do better. */
export function isTenantChange({reason}: Refusal): boolean {
  return reason === TENANT_REASON;
}

function createRefusal(reason: string, message: string): Refusal {
  return new Refusal('not-run', 503, reason, message, RETRY_AFTER_SECONDS);
}
