import {createHash} from 'node:crypto';

/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  /** Maximum number of cached blocks of all adapters together; 0 disables the cache. */
  readonly maxBlocks: number;
  /** Prompt characters in a block. */
  readonly blockCharacters: number;
}

/** Changes that a `store` made to the cache. */
export interface StoreResult {
  /** Blocks that were not cached before. */
  readonly stored: readonly string[];
  /** Blocks that were evicted because the cache was full. */
  readonly removed: readonly string[];
}

/** Prefix cache of an engine stand-in: prompt blocks with least-recently-used eviction. */
export class PrefixCache {
  private readonly cachedBlocks = new Set<string>();

  constructor(private readonly options: PrefixCacheOptions) {}

  /** Hashes the full blocks of a prompt; each hash covers the adapter and all preceding text. */
  hashBlocks(model: string, prompt: string): string[] {
    const {blockCharacters, maxBlocks} = this.options;
    const fullBlocks = maxBlocks === 0 ? 0 : prompt.length / blockCharacters;
    const hashes: string[] = [];
    let hash = model;
    for (let index = 0; index < Math.floor(fullBlocks); index += 1) {
      const start = index * blockCharacters;
      const text = prompt.slice(start, start + blockCharacters);
      hash = createHash('sha1').update(`${hash}\n${text}`).digest('base64url');
      hashes.push(hash);
    }
    return hashes;
  }

  /** Counts the leading blocks that are cached. */
  countCachedPrefix(blocks: readonly string[]): number {
    const missing = blocks.findIndex(block => !this.cachedBlocks.has(block));
    return missing === -1 ? blocks.length : missing;
  }

  /** Caches the blocks of a prompt; the last block of the prompt is evicted before the others. */
  store(blocks: readonly string[]): StoreResult {
    const stored = blocks.filter(block => !this.cachedBlocks.has(block));
    for (const block of blocks.toReversed()) {
      this.cachedBlocks.delete(block);
      this.cachedBlocks.add(block);
    }
    return {stored, removed: this.evictExcess()};
  }

  /** Removes all blocks. */
  clear(): void {
    this.cachedBlocks.clear();
  }

  private evictExcess(): string[] {
    const excess = Math.max(0, this.cachedBlocks.size - this.options.maxBlocks);
    const removed = [...this.cachedBlocks].slice(0, excess);
    removed.forEach(block => this.cachedBlocks.delete(block));
    return removed;
  }
}
