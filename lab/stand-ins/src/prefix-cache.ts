import {createHash} from 'node:crypto';

/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  /** Blocks that are held at most, over all adapters; 0 for no cache. */
  readonly maxBlocks: number;
  /** Characters of a prompt in one block. */
  readonly blockCharacters: number;
}

/** What a store changed. */
export interface StoredBlocks {
  /** Blocks that were not held before. */
  readonly stored: readonly string[];
  /** Blocks that left for want of room. */
  readonly removed: readonly string[];
}

/** The cached prompt blocks of an engine stand-in; those unused for longest leave first. */
export class PrefixCache {
  private readonly held = new Set<string>();

  constructor(private readonly options: PrefixCacheOptions) {}

  /** Names of the whole blocks of a prompt; each depends on the adapter and on all text before it. */
  blocksOf(model: string, prompt: string): string[] {
    const {blockCharacters, maxBlocks} = this.options;
    const whole = maxBlocks === 0 ? 0 : prompt.length / blockCharacters;
    const names: string[] = [];
    let name = model;
    for (let index = 0; index < Math.floor(whole); index += 1) {
      const start = index * blockCharacters;
      const text = prompt.slice(start, start + blockCharacters);
      name = createHash('sha1').update(`${name}\n${text}`).digest('base64url');
      names.push(name);
    }
    return names;
  }

  /** Leading blocks that are held. */
  heldOf(blocks: readonly string[]): number {
    const missing = blocks.findIndex(block => !this.held.has(block));
    return missing === -1 ? blocks.length : missing;
  }

  /** Holds the blocks of a prompt, its last one the first to leave. */
  store(blocks: readonly string[]): StoredBlocks {
    const stored = blocks.filter(block => !this.held.has(block));
    for (const block of blocks.toReversed()) {
      this.held.delete(block);
      this.held.add(block);
    }
    return {stored, removed: this.shrink()};
  }

  /** Drops all blocks. */
  clear(): void {
    this.held.clear();
  }

  private shrink(): string[] {
    const excess = Math.max(0, this.held.size - this.options.maxBlocks);
    const removed = [...this.held].slice(0, excess);
    removed.forEach(block => this.held.delete(block));
    return removed;
  }
}
