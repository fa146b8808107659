import type {Charge} from '@marigoldspur/entry-quotas';
import {Refusal} from '@marigoldspur/faults';
import type {TenantProfile} from '@marigoldspur/tenant-access';
import type {Call} from './call.js';

/** What a call is charged, and to whom. */
export interface TenantCharge {
  readonly charge: Charge;
  /** Name of the tenant; undefined if the call has none. */
  readonly chargedTenant: string | undefined;
}

const RETRY_AFTER_SECONDS = 0.5;
const EXPIRED_REASON = 'quota_units_expired';
const TENANT_REASON = 'tenant_changed';

/** Tenant that a call counts for by the newest deployment. */
export function findTenant({access, tenant}: Call): TenantProfile | undefined {
  return access?.tenant ?? tenant;
}

/** Why a call must not be written to a target with its charge; undefined if it may be. */
export function findChargeRefusal(
  call: Call,
  {charge, chargedTenant}: TenantCharge,
): Refusal | undefined {
  if (findTenant(call)?.name !== chargedTenant) {
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
export function hasExpired({reason}: Refusal): boolean {
  return reason === EXPIRED_REASON;
}

/** Whether an attempt ended because its call was charged to another tenant; no other one can do better. */
export function hasOtherTenant({reason}: Refusal): boolean {
  return reason === TENANT_REASON;
}

function createRefusal(reason: string, message: string): Refusal {
  return new Refusal('not-run', 503, reason, message, RETRY_AFTER_SECONDS);
}
