/** The adapters that an engine stand-in holds, loads or half holds. */
export class AdapterShelf {
  private readonly held = new Map<string, string | undefined>();
  private readonly half = new Set<string>();
  private readonly loading = new Set<string>();

  /** Adapters that the engine lists. */
  listed(): string[] {
    return [...this.held.keys(), ...this.half];
  }

  /** Digest of the weights that an adapter was loaded with; undefined where it is not known. */
  digestOf(model: string): string | undefined {
    return this.held.get(model);
  }

  /** Whether requests for the adapter can run. */
  serves(model: string): boolean {
    return this.held.has(model);
  }

  /** Loads that run. */
  get loads(): number {
    return this.loading.size;
  }

  /** Begins a load; false while no slot of `slots` is free. */
  begin(model: string, slots: number): boolean {
    const used = new Set([...this.listed(), ...this.loading]);
    if (used.size >= slots && !used.has(model)) {
      return false;
    }
    this.loading.add(model);
    return true;
  }

  /** Ends a load of weights with a digest. */
  finish(
    model: string,
    result: 'held' | 'half' | 'nothing',
    digest: string | undefined,
  ): void {
    this.loading.delete(model);
    if (result === 'held') {
      this.half.delete(model);
      this.held.set(model, digest);
    }
    if (result === 'half') {
      this.half.add(model);
    }
  }

  /** Drops an adapter. */
  remove(model: string): void {
    this.held.delete(model);
    this.half.delete(model);
  }

  /** Drops all adapters, as a restart does. */
  clear(): void {
    this.held.clear();
    this.half.clear();
    this.loading.clear();
  }
}
