/** Number of calls that are kept of each route. */
const WINDOW_SIZE = 64;
const MAX_ROUTES = 4_096;
const QUANTILE = 0.95;

/** How long the latest calls of each route took at their targets, in milliseconds. */
export class CallDurations {
  private readonly routes = new Map<string, number[]>();

  /** Records a call of a route that took `ms` milliseconds. */
  record(route: string, ms: number): void {
    const durations = this.routes.get(route) ?? [];
    this.routes.delete(route);
    this.routes.set(route, [...durations, ms].slice(-WINDOW_SIZE));
    if (this.routes.size > MAX_ROUTES) {
      this.routes.delete(this.routes.keys().next().value!);
    }
  }

  /** Returns the time within which 95% of the latest calls of a route ended; undefined if there were none. */
  expectedMs(route: string): number | undefined {
    const sorted = [...(this.routes.get(route) ?? [])].sort((a, b) => a - b);
    return sorted.at(Math.ceil(QUANTILE * sorted.length) - 1);
  }
}
