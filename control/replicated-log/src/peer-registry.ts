/** How a replica knows the others. */
export interface PeerRegistryOptions {
  /** Base URL of this replica. */
  readonly ownUrl: string;
  /** Base URLs of replicas that are known from the start. */
  readonly seeds: readonly string[];
  /**
   * Voters that the group is to have, where replicas may come from other URLs than
   * those of the seeds; undefined where the seeds name all replicas.
   */
  readonly desiredVoters?: number;
}

/** Most URLs that are kept besides the seeds; the oldest are dropped. */
const MAX_LEARNED = 64;

/** The URLs at which replicas may answer. */
export class PeerRegistry {
  private seeds: readonly string[];
  private readonly learned = new Set<string>();

  constructor(private readonly options: PeerRegistryOptions) {
    this.seeds = options.seeds.length === 0 ? [options.ownUrl] : options.seeds;
  }

  /** Base URL of this replica. */
  get ownUrl(): string {
    return this.options.ownUrl;
  }

  /** Whether replicas at URLs that no seed names may join. */
  get allowsUnlistedPeers(): boolean {
    return this.options.desiredVoters !== undefined;
  }

  /** Voters that the group is to have. */
  get desiredVoters(): number {
    return this.options.desiredVoters ?? this.seeds.length;
  }

  /** URLs named by the settings. */
  get seedUrls(): readonly string[] {
    return this.seeds;
  }

  /** All known URLs but this replica's. */
  otherUrls(): string[] {
    const all = new Set([...this.seeds, ...this.learned]);
    all.delete(this.ownUrl);
    return [...all];
  }

  /** Whether a replica at a URL may take part. */
  isAllowed(url: string): boolean {
    return this.allowsUnlistedPeers || this.seeds.includes(url);
  }

  /** Takes over other seeds, as after a change of the settings. */
  replaceSeeds(seeds: readonly string[]): void {
    if (seeds.length > 0) {
      this.seeds = seeds;
    }
  }

  /** Takes note of a URL at which a replica was said to answer. */
  addDiscovered(url: string): void {
    if (!this.allowsUnlistedPeers) {
      return;
    }
    this.learned.delete(url);
    this.learned.add(url);
    if (this.learned.size > MAX_LEARNED) {
      this.learned.delete(this.learned.values().next().value!);
    }
  }
}
