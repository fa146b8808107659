import type {Finding} from '@marigoldspur/faults';
import type {Deployment, Route} from './deployment.js';

/** Everything that is wrong with a deployment whose form is right. */
export function validateDeployment(deployment: Deployment): Finding[] {
  const services = new Set(deployment.services.map(service => service.name));
  const places = new Map<string, string>();
  const findings: Finding[] = [];
  for (const route of deployment.routes) {
    findings.push(...checkRoute(route, services));
    const place = `${route.host} ${route.pathPrefix}`;
    const other = places.get(place);
    if (other !== undefined) {
      findings.push({
        place: `routes.${route.name}`,
        reason: `host "${route.host}" and prefix "${route.pathPrefix}" are those of route "${other}" too`,
      });
    }
    places.set(place, route.name);
  }
  return findings;
}

function checkRoute(route: Route, services: ReadonlySet<string>): Finding[] {
  const place = `routes.${route.name}`;
  const findings = route.backends
    .filter(backend => !services.has(backend.service))
    .map(({service}) => ({
      place,
      reason: `service "${service}" does not exist`,
    }));
  const weight = route.backends.reduce((sum, each) => sum + each.weight, 0);
  if (weight <= 0) {
    findings.push({place, reason: 'the weights add up to 0'});
  }
  if (route.timeoutMs <= 0) {
    findings.push({place, reason: 'the timeout is 0'});
  }
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    const reason = `prefix "${route.pathPrefix}" does not begin and end with a slash`;
    findings.push({place, reason});
  }
  return findings;
}
