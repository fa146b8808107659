import {inspect} from 'node:util';
import {expect} from 'chai';
import {digestKey, TenantDirectory} from '@marigoldspur/tenant-access';

const TENANTS = [
  {name: 'ann', keys: ['k-1', 'k-2'], priority: 3},
  {name: 'bo', keys: ['k-3']},
];

it('tenant directory: each key of a tenant finds the tenant, another key finds none', () => {
  const directory = new TenantDirectory(TENANTS);
  expect(directory.find(digestKey('k-2'))).to.deep.equal({
    name: 'ann',
    priority: 3,
  });
  expect(directory.find(digestKey('k-3'))?.name).to.equal('bo');
  expect(directory.find(digestKey('k-4'))).to.equal(undefined);
  expect(directory.find(digestKey(''))).to.equal(undefined);
  expect(directory.find('k-1')).to.equal(undefined);
});

it('tenant directory: no key can be printed from it', () => {
  const directory = new TenantDirectory(TENANTS);
  const printed = inspect(directory, {depth: Infinity, showHidden: true});
  expect(printed).to.include('ann');
  for (const key of TENANTS.flatMap(({keys}) => keys)) {
    expect(printed).to.not.include(key);
  }
});
