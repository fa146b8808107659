/** Adapters that an engine keeps a copy of beside its slots, as far as is known. */
const MAX_RECENT = 40;

/** The adapters that an engine held lately, which it loads again without the store. */
export class RecentAdapters {
  private readonly held = new Set<string>();

  /** Takes note of what the engine holds: names with versions. */
  record(adapters: ReadonlyArray<readonly [string, number]>): void {
    for (const [name, version] of adapters) {
      const key = `${name}@${version}`;
      this.held.delete(key);
      this.held.add(key);
    }
    while (this.held.size > MAX_RECENT) {
      this.held.delete(this.held.values().next().value!);
    }
  }

  /** Whether the engine held an adapter lately; without a version any one will do. */
  has(name: string, version?: number): boolean {
    if (version !== undefined) {
      return this.held.has(`${name}@${version}`);
    }
    return [...this.held].some(key => key.startsWith(`${name}@`));
  }
}
