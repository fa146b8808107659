import type {PrefixChanges} from '@marigoldspur/messages';
import type {PromptPrefix} from './prompt-prefixes.js';

/** Options of the prefix hints. */
export interface PrefixHintsOptions {
  /** How long a hint is valid, in milliseconds. */
  readonly ttlMs?: number;
  /**
   * Maximum number of prefixes that are kept; the least recently used one is
   * evicted.
   */
  readonly maxPrefixes?: number;
}

/** A target in one boot of its process. */
export interface TargetInstance {
  readonly name: string;
  /** Boot ID: a restarted target has lost its cache. */
  readonly boot: string;
}

interface Hint {
  readonly boot: string;
  readonly expiresAt: number;
}

const DEFAULT_TTL_MS = 600_000;
const DEFAULT_MAX_PREFIXES = 32_768;

/**
 * Tracks which targets may have which prompt prefixes cached: those that
 * prompts were sent to, corrected by agents' reports. Hints may be wrong and
 * only order targets that are suitable anyway.
 */
export class PrefixHints {
  private readonly hints = new Map<string, Map<string, Hint>>();
  private readonly ttlMs: number;
  private readonly maxPrefixes: number;

  constructor(options: PrefixHintsOptions = {}) {
    this.ttlMs = options.ttlMs ?? DEFAULT_TTL_MS;
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Number of prefixes that are kept. */
  get size(): number {
    return this.hints.size;
  }

  /**
   * The largest share of a prompt that each target may have cached at time
   * `now`, in milliseconds; by target name.
   */
  cachedShares(
    prefixes: readonly PromptPrefix[],
    targets: readonly TargetInstance[],
    now: number,
  ): Map<string, number> {
    const shares = new Map<string, number>();
    for (const {key, share} of prefixes) {
      const hints = this.hints.get(key);
      for (const {boot, name} of targets) {
        const hint = hints?.get(name);
        if (hint?.boot === boot && hint.expiresAt > now) {
          shares.set(name, share);
        }
      }
    }
    return shares;
  }

  /** Records that a prompt was sent to a target. */
  recordPrompt(
    prefixes: readonly PromptPrefix[],
    target: TargetInstance,
    now: number,
  ): void {
    prefixes.forEach(({key}) => this.add(key, target, now));
  }

  /** Applies the cache changes that a target's agent reports. */
  applyChanges(
    name: string,
    {boot, changes}: PrefixChanges,
    now: number,
  ): void {
    for (const {held, key} of changes) {
      if (held) {
        this.add(key, {name, boot}, now);
      } else {
        this.remove(key, name);
      }
    }
  }

  private add(key: string, {boot, name}: TargetInstance, now: number): void {
    const targets = this.hints.get(key) ?? new Map<string, Hint>();
    targets.set(name, {boot, expiresAt: now + this.ttlMs});
    this.hints.delete(key);
    this.hints.set(key, targets);
    if (this.hints.size > this.maxPrefixes) {
      const [oldest] = this.hints.keys();
      this.hints.delete(oldest);
    }
  }

  private remove(key: string, name: string): void {
    const targets = this.hints.get(key);
    targets?.delete(name);
    if (targets?.size === 0) {
      this.hints.delete(key);
    }
  }
}
