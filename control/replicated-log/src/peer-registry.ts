import {isReplicaUrl} from '@marigoldspur/consensus';

/** Options of a peer registry. */
export interface PeerRegistryOptions {
  /** Base URL of this replica. */
  readonly ownUrl: string;
  /** Base URLs of the initially known replicas. */
  readonly seeds: readonly string[];
  /**
   * Desired number of voters, if replicas at URLs other than the seeds may join;
   * undefined if the seeds are all replicas.
   */
  readonly desiredVoters?: number;
}

/** Maximum number of discovered URLs; the oldest are dropped. */
const MAX_DISCOVERED_URLS = 64;

/** The URLs at which other replicas may be reached. */
export class PeerRegistry {
  private seeds: readonly string[];
  private readonly discoveredUrls = new Set<string>();

  constructor(private readonly options: PeerRegistryOptions) {
    this.seeds = options.seeds.length === 0 ? [options.ownUrl] : options.seeds;
  }

  /** Base URL of this replica. */
  get ownUrl(): string {
    return this.options.ownUrl;
  }

  /** Whether replicas at URLs other than the seeds may join. */
  get allowsUnlistedPeers(): boolean {
    return this.options.desiredVoters !== undefined;
  }

  /** Desired number of voters. */
  get desiredVoters(): number {
    return this.options.desiredVoters ?? this.seeds.length;
  }

  /** Base URLs from the settings; only that of this replica if the settings list none. */
  get seedUrls(): readonly string[] {
    return this.seeds;
  }

  /** All known URLs except that of this replica. */
  otherUrls(): string[] {
    const all = new Set([...this.seeds, ...this.discoveredUrls]);
    all.delete(this.ownUrl);
    return [...all];
  }

  /** Whether a replica at a URL may be part of the group. */
  isAllowed(url: string): boolean {
    return this.allowsUnlistedPeers || this.seeds.includes(url);
  }

  /** Replaces the seeds after a change of the settings; an empty list is ignored. */
  replaceSeeds(seeds: readonly string[]): void {
    if (seeds.length > 0) {
      this.seeds = seeds;
    }
  }

  /** Adds a URL that another replica reported, if it is valid and unlisted peers are allowed. */
  addDiscovered(url: string): void {
    if (!this.allowsUnlistedPeers || !isReplicaUrl(url)) {
      return;
    }
    this.discoveredUrls.delete(url);
    this.discoveredUrls.add(url);
    if (this.discoveredUrls.size > MAX_DISCOVERED_URLS) {
      this.discoveredUrls.delete(this.discoveredUrls.values().next().value!);
    }
  }
}
