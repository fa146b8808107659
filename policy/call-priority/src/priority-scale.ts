/** A tenant or route with a priority; 0 is the most urgent. */
export interface PriorityHolder {
  readonly priority?: number;
}

/** Least urgent level that targets know; 0 is the most urgent one. */
const LOWEST_LEVEL = 9;

/**
 * Maps the priorities of tenants and routes to the levels that targets know. The priority of the
 * tenant takes precedence. That of the route orders calls of tenants with the same priority, because
 * tenants often share one, and without it routine calls would delay urgent ones.
 */
export class PriorityScale {
  /** Priorities that calls may have, as tenant and route priority, the most urgent first. */
  private readonly ranks: ReadonlyMap<string, number>;

  /** `tenants` is undefined if calls belong to no tenants; then the routes' priorities are the levels. */
  constructor(
    routes: ReadonlyArray<Required<PriorityHolder>>,
    private readonly tenants: readonly PriorityHolder[] | undefined,
  ) {
    const pairs = [undefined, ...(tenants ?? [])].flatMap(tenant =>
      routes.map(route => toPair(route, tenant)),
    );
    const sorted = [...new Map(pairs.map(pair => [pair.join('/'), pair]))].sort(
      ([, a], [, b]) => a[0] - b[0] || a[1] - b[1],
    );
    const levels = LOWEST_LEVEL + 1;
    const scale = Math.min(1, levels / sorted.length);
    this.ranks = new Map(
      sorted.map(([name], index) => [name, Math.floor(index * scale)]),
    );
  }

  /** Level of a call, from 0, the most urgent, to 9; `tenant` is undefined if it belongs to none. */
  levelOf(
    route: Required<PriorityHolder>,
    tenant: PriorityHolder | undefined,
  ): number {
    const [first, second] = toPair(route, tenant);
    const rank = this.ranks.get(`${first}/${second}`);
    return this.tenants === undefined
      ? Math.min(LOWEST_LEVEL, route.priority)
      : (rank ?? Math.min(LOWEST_LEVEL, first));
  }
}

/** Priority of a tenant, or of the route if the tenant has none, and that of the route. */
function toPair(
  route: Required<PriorityHolder>,
  tenant: PriorityHolder | undefined,
): [number, number] {
  return [tenant?.priority ?? route.priority, route.priority];
}
