import murmurhash from 'murmurhash';
import {PriorityScale, type PriorityHolder} from '@marigoldspur/call-priority';
import type {Deployment, Route, Service} from '@marigoldspur/deployment';

/** Finds routes by host and longest path prefix. */
export class RouteTable {
  /** Routes by host, longest prefix first. */
  private readonly routes = new Map<string, Route[]>();
  private readonly services = new Map<string, Service>();
  private readonly priorities: PriorityScale;

  constructor(readonly deployment: Deployment) {
    this.priorities = new PriorityScale(deployment.routes, deployment.tenants);
    for (const route of deployment.routes) {
      const host = route.host.toLowerCase();
      const existing = this.routes.get(host);
      if (existing === undefined) {
        this.routes.set(host, [route]);
      } else {
        existing.push(route);
      }
    }
    for (const routes of this.routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of deployment.services) {
      this.services.set(service.name, service);
    }
  }

  /**
   * Finds the route of a request; undefined if none matches. `host` may contain
   * a port and `path` a query string.
   */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.routes
      .get(name)
      ?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Priority of a call, from 0, the most urgent, to 9; `tenant` is undefined if it has none. */
  priorityOf(route: Route, tenant: PriorityHolder | undefined): number {
    return this.priorities.levelOf(route, tenant);
  }

  /** Returns the service with the given name; undefined if there is none. */
  findService(name: string): Service | undefined {
    return this.services.get(name);
  }
}

const HASH_RANGE = 2 ** 32;

/**
 * Chooses the backend service of a request by weight; the same key always gets
 * the same service.
 */
export function chooseBackend(route: Route, key: string): string {
  const {backends} = route;
  if (backends.length === 1) {
    return backends[0].service;
  }
  const total = backends.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = (murmurhash.v3(key) / HASH_RANGE) * total;
  for (const {service, weight} of backends) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return backends.filter(({weight}) => weight > 0).at(-1)!.service;
}
