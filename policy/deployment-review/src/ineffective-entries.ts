import type {Deployment, Route} from '@marigoldspur/deployment';
import {createWarning, type ReviewFinding} from './review-finding.js';

/** Returns a warning for each entry of a deployment that can never take effect. */
export function findIneffectiveEntries(
  deployment: Deployment,
): ReviewFinding[] {
  return [
    ...findUnreachableRoutes(deployment.routes),
    ...deployment.routes.flatMap(route => reviewRoute(route, deployment)),
    ...findUnusedServices(deployment),
    ...reviewTenants(deployment),
  ];
}

/**
 * Finds routes that no request can reach. A longer prefix never covers a shorter one completely,
 * because the path that equals the shorter prefix matches only that one. Hosts are compared
 * without letter case and port.
 */
function findUnreachableRoutes(routes: readonly Route[]): ReviewFinding[] {
  const firstRoutes = new Map<string, string>();
  return routes.flatMap(({host, name, pathPrefix}) => {
    const place = `routes.${name}`;
    if (/:\d+$/.test(host)) {
      const reason = `host "${host}" matches no request, because hosts are compared without their port`;
      return [createWarning(place, reason)];
    }
    const hostAndPrefix = `${host.toLowerCase()} ${pathPrefix}`;
    const first = firstRoutes.get(hostAndPrefix);
    if (first === undefined) {
      firstRoutes.set(hostAndPrefix, name);
      return [];
    }
    const reason = `route "${first}" takes all requests, because its host differs only in letter case and its prefix is the same`;
    return [createWarning(place, reason)];
  });
}

function reviewRoute(route: Route, {tenants}: Deployment): ReviewFinding[] {
  const reasons = route.backends
    .filter(({weight}) => weight === 0)
    .map(
      ({service}) =>
        `service "${service}" gets no requests, because its weight is 0`,
    );
  if (route.maxAttempts > 1 && !route.idempotent) {
    reasons.push(
      `${route.maxAttempts} attempts are allowed, but a request may not run more than once: only one that certainly did not run is sent again`,
    );
  }
  if (route.isPublic === true && tenants === undefined) {
    reasons.push('is public, but without tenants no route needs a key');
  }
  return reasons.map(reason => createWarning(`routes.${route.name}`, reason));
}

function findUnusedServices({routes, services}: Deployment): ReviewFinding[] {
  const usedNames = new Set(
    routes
      .flatMap(({backends}) => backends)
      .filter(({weight}) => weight > 0)
      .map(({service}) => service),
  );
  const lastIndexes = new Map(services.map(({name}, index) => [name, index]));
  return services.flatMap(({name}, index) => {
    const place = `services.${name}`;
    if (lastIndexes.get(name) !== index) {
      return [createWarning(place, 'a later service has the same name')];
    }
    return usedNames.has(name)
      ? []
      : [createWarning(place, 'no route sends requests to it')];
  });
}

function reviewTenants({routes, tenants}: Deployment): ReviewFinding[] {
  if (tenants === undefined) {
    return [];
  }
  const findings = tenants
    .filter(({keys}) => keys.length === 0)
    .map(({name}) =>
      createWarning(
        `tenants.${name}`,
        'has no keys, so no request belongs to it',
      ),
    );
  const areAllPublic = routes.every(({isPublic}) => isPublic === true);
  if (areAllPublic && routes.length > 0) {
    const reason =
      'all routes are public, so requests without a key are served as well, without the priority and quota of a tenant';
    findings.push(createWarning('tenants', reason));
  }
  if (!areAllPublic && tenants.every(({keys}) => keys.length === 0)) {
    const reason =
      'no tenant has a key, so all requests on routes that are not public are refused';
    findings.push(createWarning('tenants', reason));
  }
  return findings;
}
