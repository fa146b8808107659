import {MAX_PREFIX_CHANGES, type PrefixChanges} from '@marigoldspur/messages';
import type {CacheEvent} from '@marigoldspur/target-client';

/** Options of the table. */
export interface CachedPrefixesOptions {
  /** Time after which a prefix is forgotten, in milliseconds. */
  readonly keepMs?: number;
  /** Prefixes that are remembered at most. */
  readonly maxPrefixes?: number;
}

/** What an event showed besides the change that it tells. */
export interface CacheEventResult {
  /** Events before it that never came. */
  readonly missed: number;
  /** Why all prefixes were forgotten, where they were. */
  readonly forgotten?: 'boot' | 'cleared';
}

interface CachedPrefix {
  /** The last block of the prompt, which leaves the cache first. */
  readonly block: string;
  readonly until: number;
}

const DEFAULT_KEEP_MS = 600_000;
const DEFAULT_MAX_PREFIXES = 4_096;
const MAX_SENT = 1_024;

/**
 * Which prompts an engine holds in its prefix cache, as far as its events tell. They
 * come late and with gaps, so a prompt is forgotten after a while and counts as a hint.
 */
export class CachedPrefixes {
  private readonly keepMs: number;
  private readonly maxPrefixes: number;
  /** Prefix of each request that was sent, until the engine says what it stored. */
  private readonly sentKeys = new Map<string, string>();
  private readonly prefixes = new Map<string, CachedPrefix>();
  private readonly keys = new Map<string, string>();
  private readonly latest = new Map<string, boolean>();
  private boot = '';
  private sequence = -1;

  constructor(options: CachedPrefixesOptions = {}) {
    this.keepMs = options.keepMs ?? DEFAULT_KEEP_MS;
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Prefixes that are held at time `now`, in milliseconds. */
  size(now: number): number {
    this.expire(now);
    return this.prefixes.size;
  }

  /** Whether a prefix is held at time `now`, in milliseconds. */
  has(key: string, now: number): boolean {
    const prefix = this.prefixes.get(key);
    return prefix !== undefined && prefix.until > now;
  }

  /** Takes note that a request with a prompt goes to the engine. */
  recordRequest(request: string, key: string): void {
    this.sentKeys.set(request, key);
    this.latest.delete(key);
    dropOldest(this.sentKeys, MAX_SENT);
  }

  /** Takes an event that came at time `now`, in milliseconds. */
  applyEvent(event: CacheEvent, now: number): CacheEventResult {
    const restarted = event.boot !== this.boot;
    if (restarted) {
      this.forget();
      this.boot = event.boot;
      this.sequence = -1;
    } else if (event.sequence <= this.sequence) {
      return {missed: 0};
    }
    const known = this.sequence !== -1;
    const missed = known ? event.sequence - this.sequence - 1 : 0;
    this.sequence = event.sequence;
    this.expire(now);
    if (event.kind === 'stored') {
      this.store(event.request, event.blocks, now);
    } else if (event.kind === 'removed') {
      event.blocks.forEach(block => this.remove(block));
    } else {
      this.clear();
      return {missed, forgotten: 'cleared'};
    }
    return restarted ? {missed, forgotten: 'boot'} : {missed};
  }

  /** The latest changes; undefined where there are none. */
  recentChanges(): PrefixChanges | undefined {
    const changes = [...this.latest].map(([key, held]) => ({key, held}));
    return changes.length === 0 ? undefined : {boot: this.boot, changes};
  }

  private store(request: string, blocks: readonly string[], now: number): void {
    const key = this.sentKeys.get(request);
    const block = blocks.at(-1);
    this.sentKeys.delete(request);
    if (key === undefined || block === undefined) {
      return;
    }
    this.drop(key);
    this.prefixes.set(key, {block, until: now + this.keepMs});
    this.keys.set(block, key);
    this.note(key, true);
    if (this.prefixes.size > this.maxPrefixes) {
      const [oldest] = this.prefixes.keys();
      this.drop(oldest);
    }
  }

  private remove(block: string): void {
    const key = this.keys.get(block);
    if (key !== undefined) {
      this.drop(key);
      this.note(key, false);
    }
  }

  private drop(key: string): void {
    const prefix = this.prefixes.get(key);
    this.prefixes.delete(key);
    if (prefix !== undefined && this.keys.get(prefix.block) === key) {
      this.keys.delete(prefix.block);
    }
  }

  private note(key: string, held: boolean): void {
    this.latest.delete(key);
    this.latest.set(key, held);
    dropOldest(this.latest, MAX_PREFIX_CHANGES);
  }

  /** Drops all that the engine cleared, and tells the last ones of it. */
  private clear(): void {
    [...this.prefixes.keys()]
      .slice(-MAX_PREFIX_CHANGES)
      .forEach(key => this.note(key, false));
    this.prefixes.clear();
    this.keys.clear();
  }

  private forget(): void {
    this.prefixes.clear();
    this.keys.clear();
    this.latest.clear();
  }

  private expire(now: number): void {
    for (const [key, prefix] of this.prefixes) {
      if (prefix.until > now) {
        return;
      }
      this.drop(key);
    }
  }
}

function dropOldest(map: Map<string, unknown>, limit: number): void {
  if (map.size > limit) {
    const [oldest] = map.keys();
    map.delete(oldest);
  }
}
