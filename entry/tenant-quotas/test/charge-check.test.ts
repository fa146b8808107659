import {expect} from 'chai';
import {
  findChargeRefusal,
  isExpiredCharge,
  isTenantChange,
  NO_CHARGE,
} from '@marigoldspur/entry-quotas';

const EXPIRED = {...NO_CHARGE, mayBeUsed: false};

it('charge check: a call may be written with usable units of its tenant, or without a tenant', () => {
  for (const tenant of ['t', undefined]) {
    const charge = {charge: NO_CHARGE, chargedTenant: tenant};
    expect(findChargeRefusal(charge, tenant)).to.equal(undefined);
  }
});

// Guards against calls that run with units that a replica has granted again.
it('charge check: a call whose units expired is refused as not run', () => {
  const charge = {charge: EXPIRED, chargedTenant: 't'};
  const refusal = findChargeRefusal(charge, 't')!;
  expect(refusal).to.include({outcome: 'not-run', status: 503});
  expect(isExpiredCharge(refusal)).to.equal(true);
  expect(isTenantChange(refusal)).to.equal(false);
});

// Guards against calls that run for one tenant and count for another.
it('charge check: a call that counts for another tenant now is refused as not run, also with expired units', () => {
  for (const tenant of ['other', undefined]) {
    const charge = {charge: EXPIRED, chargedTenant: 't'};
    const refusal = findChargeRefusal(charge, tenant)!;
    expect(refusal).to.include({outcome: 'not-run', status: 503});
    expect(isTenantChange(refusal)).to.equal(true);
    expect(isExpiredCharge(refusal)).to.equal(false);
  }
});
