import {expect} from 'chai';
import {Registry} from 'prom-client';
import {TenantMetrics} from '@marigoldspur/caller-tenants';

it('tenant metrics: the age of a confirmation is in seconds, and infinite while there is none', async () => {
  const registry = new Registry();
  let ageMs = Infinity;
  new TenantMetrics(registry, () => ageMs).recordCall('unknown_key');
  const name = 'marigoldspur_deployment_confirmation_age_seconds';
  expect(await registry.metrics()).to.match(
    new RegExp(`^${name} \\+?Inf`, 'm'),
  );
  ageMs = 1_500;
  const metrics = await registry.metrics();
  expect(metrics).to.include(`${name} 1.5`);
  expect(metrics).to.include(
    'marigoldspur_keyed_calls_total{outcome="unknown_key"} 1',
  );
});

it('tenant metrics: without a bound on revocation there is no age', async () => {
  const registry = new Registry();
  new TenantMetrics(registry, undefined).recordCall('allowed');
  expect(await registry.metrics()).to.not.include('confirmation_age');
});
