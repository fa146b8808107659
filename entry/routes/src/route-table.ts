import murmurhash from 'murmurhash';
import type {Deployment, Route, Service} from '@marigoldspur/deployment';

/** Finds routes by host and longest prefix. */
export class RouteTable {
  /** Routes by host, those with the longest prefix first. */
  private readonly routes = new Map<string, Route[]>();
  private readonly services = new Map<string, Service>();

  constructor(readonly deployment: Deployment) {
    for (const route of deployment.routes) {
      const host = route.host.toLowerCase();
      const known = this.routes.get(host) ?? [];
      this.routes.set(host, [...known, route]);
    }
    for (const routes of this.routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const serviceNamed of deployment.services) {
      this.services.set(serviceNamed.name, serviceNamed);
    }
  }

  /** The route of a request; `host` may name a port, `path` may have a query. */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.routes
      .get(name)
      ?.find(route => path.startsWith(route.pathPrefix));
  }

  /** The service with a name. */
  service(name: string): Service | undefined {
    return this.services.get(name);
  }
}

const HASH_RANGE = 2 ** 32;

/** The service that a request goes to; the same key always goes to the same one. */
export function chooseBackend(route: Route, key: string): string {
  const {backends} = route;
  if (backends.length === 1) {
    return backends[0].service;
  }
  const total = backends.reduce((sum, {weight}) => sum + weight, 0);
  let rest = (murmurhash.v3(key) / HASH_RANGE) * total;
  for (const {service, weight} of backends) {
    rest -= weight;
    if (rest < 0) {
      return service;
    }
  }
  return backends.filter(({weight}) => weight > 0).at(-1)!.service;
}
