import type {Finding} from '@marigoldspur/faults';
import type {Deployment, Route} from './deployment.js';
import type {Tenant} from './tenants.js';

/** Returns all findings about a deployment that matches the schema. */
export function validateDeployment(deployment: Deployment): Finding[] {
  const services = new Set(deployment.services.map(service => service.name));
  const routeNames = new Map<string, string>();
  const findings: Finding[] = [];
  for (const route of deployment.routes) {
    findings.push(...validateRoute(route, services));
    const hostAndPrefix = `${route.host} ${route.pathPrefix}`;
    const other = routeNames.get(hostAndPrefix);
    if (other !== undefined) {
      findings.push({
        place: `routes.${route.name}`,
        reason: `host "${route.host}" and prefix "${route.pathPrefix}" are already used by route "${other}"`,
      });
    }
    routeNames.set(hostAndPrefix, route.name);
  }
  return [...findings, ...validateTenants(deployment.tenants ?? [])];
}

/** Returns the findings about tenants; they name no key, because keys are secrets. */
function validateTenants(tenants: readonly Tenant[]): Finding[] {
  const holders = new Map<string, string>();
  const names = new Set<string>();
  const findings: Finding[] = [];
  for (const {keys, name} of tenants) {
    const place = `tenants.${name}`;
    if (names.has(name)) {
      findings.push({place, reason: 'another tenant has the same name'});
    }
    names.add(name);
    const others = new Set(keys.map(key => holders.get(key) ?? name));
    others.delete(name);
    others.forEach(other =>
      findings.push({place, reason: `shares a key with tenant "${other}"`}),
    );
    keys.forEach(key => holders.set(key, name));
  }
  return findings;
}

function validateRoute(route: Route, services: ReadonlySet<string>): Finding[] {
  const place = `routes.${route.name}`;
  const findings = route.backends
    .filter(backend => !services.has(backend.service))
    .map(({service}) => ({
      place,
      reason: `service "${service}" does not exist`,
    }));
  const weight = route.backends.reduce(
    (sum, backend) => sum + backend.weight,
    0,
  );
  if (weight <= 0) {
    findings.push({place, reason: 'the weights of the backends add up to 0'});
  }
  if (route.timeoutMs <= 0) {
    findings.push({place, reason: 'the timeout must be greater than 0'});
  }
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    const reason = `prefix "${route.pathPrefix}" must start and end with a slash`;
    findings.push({place, reason});
  }
  return findings;
}
