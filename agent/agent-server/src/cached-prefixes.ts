import {MAX_PREFIX_CHANGES, type PrefixChanges} from '@marigoldspur/messages';
import type {CacheEvent} from '@marigoldspur/engine-client';

/** Options of {@link CachedPrefixes}. */
export interface CachedPrefixesOptions {
  /** Time after which a prefix expires, in milliseconds. */
  readonly retentionMs?: number;
  /** Maximum number of stored prefixes. */
  readonly maxPrefixes?: number;
}

/** Result of applying a cache event. */
export interface CacheEventResult {
  /** Number of events lost before this one. */
  readonly missed: number;
  /** Why all prefixes were removed, if they were. */
  readonly resetReason?: 'boot' | 'cleared';
}

interface CachedPrefix {
  /**
   * The last block of the prompt, which is the first to be removed from the
   * cache.
   */
  readonly block: string;
  readonly expiresAt: number;
}

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_PREFIXES = 4_096;
const MAX_PENDING_REQUESTS = 1_024;

/**
 * Tracks which prompts are in an engine's prefix cache, based on the engine's
 * events. Events can be delayed or lost, so entries expire and are only hints.
 */
export class CachedPrefixes {
  private readonly retentionMs: number;
  private readonly maxPrefixes: number;
  /**
   * Prefix of each request sent to the engine, until the engine reports the
   * stored blocks.
   */
  private readonly keysByRequest = new Map<string, string>();
  private readonly prefixes = new Map<string, CachedPrefix>();
  private readonly keysByBlock = new Map<string, string>();
  private readonly changesByKey = new Map<string, boolean>();
  private boot = '';
  private sequence = -1;

  constructor(options: CachedPrefixesOptions = {}) {
    this.retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Number of cached prefixes at time `now`, in milliseconds. */
  size(now: number): number {
    this.expire(now);
    return this.prefixes.size;
  }

  /** Whether a prefix is cached at time `now`, in milliseconds. */
  has(key: string, now: number): boolean {
    const prefix = this.prefixes.get(key);
    return prefix !== undefined && prefix.expiresAt > now;
  }

  /** Records the prefix of a request that is sent to the engine. */
  recordRequest(request: string, key: string): void {
    this.keysByRequest.set(request, key);
    this.changesByKey.delete(key);
    removeOldest(this.keysByRequest, MAX_PENDING_REQUESTS);
  }

  /** Applies an event that was received at time `now`, in milliseconds. */
  applyEvent(event: CacheEvent, now: number): CacheEventResult {
    const hasRestarted = event.boot !== this.boot;
    if (hasRestarted) {
      this.reset();
      this.boot = event.boot;
      this.sequence = -1;
    } else if (event.sequence <= this.sequence) {
      return {missed: 0};
    }
    const hasSequence = this.sequence !== -1;
    const missed = hasSequence ? event.sequence - this.sequence - 1 : 0;
    this.sequence = event.sequence;
    this.expire(now);
    if (event.kind === 'stored') {
      this.store(event.request, event.blocks, now);
    } else if (event.kind === 'removed') {
      event.blocks.forEach(block => this.removeBlock(block));
    } else {
      this.clear();
      return {missed, resetReason: 'cleared'};
    }
    return hasRestarted ? {missed, resetReason: 'boot'} : {missed};
  }

  /** Returns the most recent changes; undefined if there are none. */
  recentChanges(): PrefixChanges | undefined {
    const changes = [...this.changesByKey].map(([key, held]) => ({key, held}));
    return changes.length === 0 ? undefined : {boot: this.boot, changes};
  }

  private store(request: string, blocks: readonly string[], now: number): void {
    const key = this.keysByRequest.get(request);
    const block = blocks.at(-1);
    this.keysByRequest.delete(request);
    if (key === undefined || block === undefined) {
      return;
    }
    this.removePrefix(key);
    this.prefixes.set(key, {block, expiresAt: now + this.retentionMs});
    this.keysByBlock.set(block, key);
    this.recordChange(key, true);
    if (this.prefixes.size > this.maxPrefixes) {
      const [oldest] = this.prefixes.keys();
      this.removePrefix(oldest);
    }
  }

  private removeBlock(block: string): void {
    const key = this.keysByBlock.get(block);
    if (key !== undefined) {
      this.removePrefix(key);
      this.recordChange(key, false);
    }
  }

  private removePrefix(key: string): void {
    const prefix = this.prefixes.get(key);
    this.prefixes.delete(key);
    if (prefix !== undefined && this.keysByBlock.get(prefix.block) === key) {
      this.keysByBlock.delete(prefix.block);
    }
  }

  private recordChange(key: string, held: boolean): void {
    this.changesByKey.delete(key);
    this.changesByKey.set(key, held);
    removeOldest(this.changesByKey, MAX_PREFIX_CHANGES);
  }

  /**
   * Removes all prefixes and records the removal of the most recent ones as
   * changes.
   */
  private clear(): void {
    [...this.prefixes.keys()]
      .slice(-MAX_PREFIX_CHANGES)
      .forEach(key => this.recordChange(key, false));
    this.prefixes.clear();
    this.keysByBlock.clear();
  }

  private reset(): void {
    this.prefixes.clear();
    this.keysByBlock.clear();
    this.changesByKey.clear();
  }

  private expire(now: number): void {
    for (const [key, prefix] of this.prefixes) {
      if (prefix.expiresAt > now) {
        return;
      }
      this.removePrefix(key);
    }
  }
}

function removeOldest(map: Map<string, unknown>, limit: number): void {
  if (map.size > limit) {
    const [oldest] = map.keys();
    map.delete(oldest);
  }
}
