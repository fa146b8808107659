import type {
  CallerLimits,
  Deployment,
  Route,
  Service,
  Tenant,
} from '@marigoldspur/deployment';
import {quotaCost} from '@marigoldspur/tenant-quotas';
import {createWarning, type ReviewFinding} from './review-finding.js';

/** Returns a warning for each pair of limits of a deployment that contradict each other. */
export function findContradictingLimits({
  limits,
  routes,
  services,
  tenants = [],
}: Deployment): ReviewFinding[] {
  return [
    ...routes.flatMap(reviewRoute),
    ...services.flatMap(reviewService),
    ...reviewLimits(limits),
    ...tenants.flatMap(reviewTenant),
  ];
}

function reviewRoute({
  latencyObjectiveMs,
  maxGapMs,
  name,
  timeoutMs,
}: Route): ReviewFinding[] {
  const times = [
    {label: 'latency objective', valueMs: latencyObjectiveMs},
    {label: 'longest gap', valueMs: maxGapMs ?? 0},
  ];
  return times
    .filter(({valueMs}) => valueMs >= timeoutMs)
    .map(({label, valueMs}) =>
      createWarning(
        `routes.${name}`,
        `the ${label} (${valueMs} ms) is not below the timeout (${timeoutMs} ms)`,
      ),
    );
}

function reviewService({engine, name}: Service): ReviewFinding[] {
  if (engine === undefined) {
    return [];
  }
  const {adapterSlots, memoryMb = Infinity, models} = engine;
  const place = `services.${name}`;
  const withoutSlots = models
    .filter(({adapters}) => adapters > 0 && adapterSlots === 0)
    .map(model =>
      createWarning(
        place,
        `engines have no slot for an adapter, but model "${model.name}" has adapters (${model.adapters})`,
      ),
    );
  const tooLarge = models
    .filter(({weightsMb = 0}) => weightsMb > memoryMb)
    .map(model =>
      createWarning(
        place,
        `model "${model.name}" (${model.weightsMb} MB) is larger than the memory of an engine (${memoryMb} MB), so that no engine can load it`,
      ),
    );
  return [...withoutSlots, ...tooLarge];
}

function reviewLimits({
  headerTimeoutMs,
  idleTimeoutMs,
}: CallerLimits): ReviewFinding[] {
  if (headerTimeoutMs <= idleTimeoutMs) {
    return [];
  }
  const reason = `the timeout for headers (${headerTimeoutMs} ms) is above the one for idle connections (${idleTimeoutMs} ms)`;
  return [createWarning('limits', reason)];
}

function reviewTenant({name, quota}: Tenant): ReviewFinding[] {
  if (quota === undefined) {
    return [];
  }
  const {burst, unit} = quota;
  const place = `tenants.${name}`;
  if (burst === 0) {
    const reason =
      'the burst of the quota is 0, which leaves only what the tolerance of quotas allows';
    return [createWarning(place, reason)];
  }
  const cost = quotaCost(quota, undefined);
  if (burst >= cost) {
    return [];
  }
  const request =
    unit === 'tokens' ? 'a request without stated tokens' : 'a request';
  const reason = `the burst of the quota (${burst}) is below the cost of ${request} (${cost})`;
  return [createWarning(place, reason)];
}
