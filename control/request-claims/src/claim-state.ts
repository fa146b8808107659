import type {Claim, ClaimOutcome, Completion} from '@marigoldspur/messages';
import {existingClaimOutcome, type StoredClaim} from './stored-claim.js';
import {ExpiryBuckets} from './expiry-buckets.js';
import {ReleasedClaims, type ReleasedClaim} from './released-claims.js';
import {AnswerStore} from './answer-store.js';

/** Limits of a claim state. */
export interface ClaimStateOptions {
  /** Maximum number of stored claims; beyond it new keys are refused. */
  readonly maxClaims?: number;
  /** Maximum total size of stored answers, in bytes; beyond it the oldest are dropped. */
  readonly maxTotalAnswerBytes?: number;
  /** Maximum size of a stored answer, in bytes. */
  readonly maxAnswerBytes?: number;
  /** Time after which a claim that is still running becomes unknown, in milliseconds. */
  readonly runningLimitMs?: number;
}

/** An entry process that holds running claims. */
export interface ClaimHolder {
  readonly entry: string;
  readonly boot: string;
}

/** Snapshot of a claim state: its clock, and the claims by customer and key. */
export interface ClaimsSnapshot {
  readonly clock: number;
  readonly rows: ReadonlyArray<readonly [string, StoredClaim]>;
  /** Recently released claims. */
  readonly givenBack?: readonly ReleasedClaim[];
}

const DEFAULTS: Required<ClaimStateOptions> = {
  maxClaims: 50_000,
  maxTotalAnswerBytes: 8_388_608,
  maxAnswerBytes: 16_384,
  runningLimitMs: 7_200_000,
};
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Idempotency keys claimed by requests that must not be repeated.
 *
 * A running claim has no retention limit: it ends when it is completed, when its entry
 * is lost, or as unknown after two hours, which is longer than the longest request.
 * After its end it is kept for its retention time, so a key can be reused only when the
 * last run under it ended at least that long ago. An unknown outcome stays unknown.
 *
 * A claim that its request released without running is remembered for ten minutes, so
 * that a late duplicate of the claim call is not granted.
 *
 * The state's clock is the highest time of any command, so it never runs backwards when
 * the clocks of leaders differ.
 */
export class ClaimState {
  private claims = new Map<string, StoredClaim>();
  private clock = 0;
  /** IDs of the running claims of each holder. */
  private readonly runningIds = new Map<string, Set<string>>();
  private readonly expiries = new ExpiryBuckets();
  private readonly answers: AnswerStore;
  private readonly releasedClaims = new ReleasedClaims();
  private readonly options: Required<ClaimStateOptions>;

  constructor(options: ClaimStateOptions = {}) {
    this.options = {...DEFAULTS, ...options};
    this.answers = new AnswerStore(this.options);
  }

  /** Number of stored claims. */
  get size(): number {
    return this.claims.size;
  }

  /** Total size of the stored answers, in bytes. */
  get storedAnswerBytes(): number {
    return this.answers.bytes;
  }

  /** Returns the entries that hold running claims. */
  holders(): ClaimHolder[] {
    return [...this.runningIds.keys()].map(text => {
      const [entry, boot] = JSON.parse(text) as [string, string];
      return {entry, boot};
    });
  }

  /** Decides a claim proposed at time `at`, in milliseconds; the first claim of a key wins. */
  take(claim: Claim, at: number): ClaimOutcome {
    this.advance(at);
    const id = claimId(claim.customer, claim.key);
    const stored = this.currentClaim(id);
    if (stored !== undefined) {
      return existingClaimOutcome(stored, claim);
    }
    if (this.releasedClaims.has(id, claim.request, this.clock)) {
      return {outcome: 'not-run', request: claim.request};
    }
    if (this.claims.size >= this.options.maxClaims) {
      return {outcome: 'full', retryAfterMs: MAX_RETRY_AFTER_MS};
    }
    this.insert(id, {
      digest: claim.digest,
      request: claim.request,
      entry: claim.entry,
      boot: claim.boot,
      retentionMs: claim.retentionMs,
      endsAt: this.clock + this.options.runningLimitMs,
      state: 'running',
    });
    return {outcome: 'granted'};
  }

  /** Ends a running claim; ignored unless it comes from the request that holds the claim. */
  complete(completion: Completion, at: number): void {
    this.advance(at);
    const id = claimId(completion.customer, completion.key);
    const stored = this.currentClaim(id);
    const isHeld =
      stored?.state === 'running' && stored.request === completion.request;
    if (completion.result === 'not-run') {
      this.releasedClaims.add(id, completion.request, this.clock);
    }
    if (!isHeld) {
      return;
    }
    if (completion.result === 'not-run') {
      this.drop(id, stored);
      return;
    }
    this.end(id, stored, completion.result);
    this.answers.keep(stored, completion.answer);
  }

  /** Marks the running claims of a lost entry as permanently unknown. */
  markEntryLost(entry: string, boot: string, at: number): void {
    this.advance(at);
    for (const id of [...(this.runningIds.get(holderKey(entry, boot)) ?? [])]) {
      const stored = this.currentClaim(id);
      if (stored?.state === 'running') {
        this.end(id, stored, 'unknown');
      }
    }
  }

  /** Returns a snapshot of the state. */
  snapshot(): ClaimsSnapshot {
    return {
      clock: this.clock,
      rows: [...this.claims],
      givenBack: this.releasedClaims.snapshot(),
    };
  }

  /** Replaces the state with a snapshot. */
  restore(snapshot: ClaimsSnapshot): void {
    this.claims = new Map();
    this.answers.clear();
    this.runningIds.clear();
    this.expiries.clear();
    this.clock = snapshot.clock;
    this.releasedClaims.restore(snapshot.givenBack ?? []);
    for (const [id, stored] of snapshot.rows) {
      const {answer, ...rest} = stored;
      const copy: StoredClaim = {...rest};
      this.insert(id, copy);
      this.answers.keep(copy, answer);
    }
  }

  /** Returns the claim of a key at the state's clock, expiring it if it is due. */
  private currentClaim(id: string): StoredClaim | undefined {
    const stored = this.claims.get(id);
    if (stored === undefined || stored.endsAt > this.clock) {
      return stored;
    }
    if (stored.state === 'running') {
      this.end(id, stored, 'unknown');
      return stored;
    }
    this.drop(id, stored);
    return undefined;
  }

  private insert(id: string, stored: StoredClaim): void {
    this.claims.set(id, stored);
    this.expiries.add(id, stored.endsAt);
    if (stored.state === 'running') {
      const key = holderKey(stored.entry, stored.boot);
      const held = this.runningIds.get(key) ?? new Set();
      this.runningIds.set(key, held.add(id));
    }
  }

  private end(
    id: string,
    stored: StoredClaim,
    state: 'completed' | 'unknown',
  ): void {
    this.removeRunning(id, stored);
    stored.state = state;
    stored.endsAt = this.clock + stored.retentionMs;
    // Claims are ordered by their end, which snapshots preserve.
    this.claims.delete(id);
    this.claims.set(id, stored);
    this.expiries.add(id, stored.endsAt);
  }

  private drop(id: string, stored: StoredClaim): void {
    this.removeRunning(id, stored);
    this.answers.drop(stored);
    this.claims.delete(id);
  }

  private removeRunning(id: string, stored: StoredClaim): void {
    const key = holderKey(stored.entry, stored.boot);
    const held = this.runningIds.get(key);
    held?.delete(id);
    if (held?.size === 0) {
      this.runningIds.delete(key);
    }
  }

  /** Advances the clock and expires the claims that are due, by whole minutes. */
  private advance(at: number): void {
    this.clock = Math.max(this.clock, at);
    this.releasedClaims.expire(this.clock);
    this.expiries.takeDue(this.clock).forEach(id => this.currentClaim(id));
  }
}

function claimId(customer: string, key: string): string {
  return `${customer}/${key}`;
}

function holderKey(entry: string, boot: string): string {
  return JSON.stringify([entry, boot]);
}
