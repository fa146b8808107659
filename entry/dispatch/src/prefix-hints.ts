import type {PrefixChanges} from '@marigoldspur/messages';
import type {PromptPrefix} from './prompt-prefixes.js';

/** Options of the hints. */
export interface PrefixHintsOptions {
  /** How long a hint counts, in milliseconds. */
  readonly ttlMs?: number;
  /** Prefixes that are remembered at most; the one unused for longest is forgotten. */
  readonly maxPrefixes?: number;
}

/** A target as it was when a hint was taken. */
export interface TargetInstance {
  readonly name: string;
  /** Boot identity: a restarted target has lost its cache. */
  readonly boot: string;
}

interface Hint {
  readonly boot: string;
  readonly until: number;
}

const DEFAULT_KEEP_MS = 600_000;
const DEFAULT_MAX_PREFIXES = 32_768;

/**
 * Which targets may hold which prompt prefixes in their cache: where prompts were sent,
 * corrected by what agents tell. Hints may be wrong, and only ever order targets that
 * would do anyway.
 */
export class PrefixHints {
  private readonly hints = new Map<string, Map<string, Hint>>();
  private readonly keepMs: number;
  private readonly maxPrefixes: number;

  constructor(options: PrefixHintsOptions = {}) {
    this.keepMs = options.ttlMs ?? DEFAULT_KEEP_MS;
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Prefixes that are remembered. */
  get size(): number {
    return this.hints.size;
  }

  /** The longest share of a prompt that each target may hold at time `now`, in milliseconds. */
  cachedShares(
    prefixes: readonly PromptPrefix[],
    targets: readonly TargetInstance[],
    now: number,
  ): Map<string, number> {
    const shares = new Map<string, number>();
    for (const {key, share} of prefixes) {
      const known = this.hints.get(key);
      for (const {boot, name} of targets) {
        const hint = known?.get(name);
        if (hint?.boot === boot && hint.until > now) {
          shares.set(name, share);
        }
      }
    }
    return shares;
  }

  /** Takes note that a prompt was sent to a target. */
  recordPrompt(
    prefixes: readonly PromptPrefix[],
    target: TargetInstance,
    now: number,
  ): void {
    prefixes.forEach(({key}) => this.hold(key, target, now));
  }

  /** Takes note of what a target's agent tells. */
  applyChanges(
    name: string,
    {boot, changes}: PrefixChanges,
    now: number,
  ): void {
    for (const {held, key} of changes) {
      if (held) {
        this.hold(key, {name, boot}, now);
      } else {
        this.drop(key, name);
      }
    }
  }

  private hold(key: string, {boot, name}: TargetInstance, now: number): void {
    const targets = this.hints.get(key) ?? new Map<string, Hint>();
    targets.set(name, {boot, until: now + this.keepMs});
    this.hints.delete(key);
    this.hints.set(key, targets);
    if (this.hints.size > this.maxPrefixes) {
      const [oldest] = this.hints.keys();
      this.hints.delete(oldest);
    }
  }

  private drop(key: string, name: string): void {
    const targets = this.hints.get(key);
    targets?.delete(name);
    if (targets?.size === 0) {
      this.hints.delete(key);
    }
  }
}
