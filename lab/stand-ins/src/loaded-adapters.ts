/** Tracks the adapters that an engine stand-in has loaded, is loading, or lists without serving. */
export class LoadedAdapters {
  private readonly digests = new Map<string, string | undefined>();
  private readonly listedOnly = new Set<string>();
  private readonly loading = new Set<string>();

  /** Returns the adapters in the engine's model list, including those that it cannot serve. */
  listIds(): string[] {
    return [...this.digests.keys(), ...this.listedOnly];
  }

  /** Returns the digest of the weights that an adapter was loaded with; undefined when unknown. */
  findDigest(model: string): string | undefined {
    return this.digests.get(model);
  }

  /** Whether the engine can run requests for the adapter. */
  canServe(model: string): boolean {
    return this.digests.has(model);
  }

  /** Number of loads in progress. */
  get loadCount(): number {
    return this.loading.size;
  }

  /** Starts a load; returns false when all `slots` are in use by other adapters. */
  startLoad(model: string, slots: number): boolean {
    const used = new Set([...this.listIds(), ...this.loading]);
    if (used.size >= slots && !used.has(model)) {
      return false;
    }
    this.loading.add(model);
    return true;
  }

  /**
   * Ends a load; `digest` identifies the loaded weights. A `listed-only` adapter is listed
   * but not served.
   */
  finishLoad(
    model: string,
    outcome: 'loaded' | 'listed-only' | 'not-loaded',
    digest: string | undefined,
  ): void {
    this.loading.delete(model);
    if (outcome === 'loaded') {
      this.listedOnly.delete(model);
      this.digests.set(model, digest);
    }
    if (outcome === 'listed-only') {
      this.listedOnly.add(model);
    }
  }

  /** Unloads an adapter. */
  remove(model: string): void {
    this.digests.delete(model);
    this.listedOnly.delete(model);
  }

  /** Removes all adapters, as an engine restart does. */
  clear(): void {
    this.digests.clear();
    this.listedOnly.clear();
    this.loading.clear();
  }
}
