/**
 * Assumed number of adapters of which an engine keeps a copy outside its slots.
 */
const MAX_RECENT_ADAPTERS = 40;

/**
 * The adapters that an engine held recently and can load again without the
 * store.
 */
export class RecentAdapters {
  private readonly recentKeys = new Set<string>();

  /** Records the adapters that the engine holds: names with versions. */
  record(adapters: ReadonlyArray<readonly [string, number]>): void {
    for (const [name, version] of adapters) {
      const key = `${name}@${version}`;
      this.recentKeys.delete(key);
      this.recentKeys.add(key);
    }
    while (this.recentKeys.size > MAX_RECENT_ADAPTERS) {
      this.recentKeys.delete(this.recentKeys.values().next().value!);
    }
  }

  /**
   * Whether the engine held an adapter recently; any version if `version` is
   * undefined.
   */
  has(name: string, version?: number): boolean {
    if (version !== undefined) {
      return this.recentKeys.has(`${name}@${version}`);
    }
    return [...this.recentKeys].some(key => key.startsWith(`${name}@`));
  }
}
