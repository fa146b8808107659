import type {Claim, ClaimOutcome, Completion} from '@marigoldspur/messages';
import {existingClaimOutcome, type StoredClaim} from './stored-claim.js';
import {ExpiryBuckets} from './expiry-buckets.js';
import {ReleasedClaims, type ReleasedClaim} from './released-claims.js';
import {AnswerStore} from './answer-store.js';

/** Bounds of what a claim state keeps. */
export interface ClaimStateOptions {
  /** Claims kept at once; beyond it new keys are refused. */
  readonly maxClaims?: number;
  /** Bytes of kept answers; beyond it the oldest answers are dropped. */
  readonly maxAnswerBytes?: number;
  /** Largest answer that is kept, in bytes. */
  readonly maxAnswerSize?: number;
  /** After this time a claim that never ended counts as unknown, in milliseconds. */
  readonly runningLimitMs?: number;
}

/** An entry that holds running claims. */
export interface ClaimHolder {
  readonly entry: string;
  readonly boot: string;
}

/** Everything a claim state holds, for snapshots: its clock, and rows by customer and key. */
export interface ClaimsSnapshot {
  readonly clock: number;
  readonly rows: ReadonlyArray<readonly [string, StoredClaim]>;
  /** Claims given back of late. */
  readonly givenBack?: readonly ReleasedClaim[];
}

const DEFAULTS: Required<ClaimStateOptions> = {
  maxClaims: 50_000,
  maxAnswerBytes: 8_388_608,
  maxAnswerSize: 16_384,
  runningLimitMs: 7_200_000,
};
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * The claims of requests that may not be repeated.
 *
 * A running claim never runs out: it ends by its completion, by the loss of its
 * entry, or as unknown after two hours, which is over the longest request. From its
 * end it is kept for its retention, so a key may be used again only when a run under
 * it ended at least that long ago. An unknown outcome stays unknown.
 *
 * A claim that its request gave back is remembered for some minutes: a call for it
 * that comes later, as one that was sent twice, takes nothing.
 *
 * The state's clock is the highest time that any command gave, so it never runs
 * backwards when leaders' clocks differ.
 */
export class ClaimState {
  private rows = new Map<string, StoredClaim>();
  private clock = 0;
  private readonly running = new Map<string, Set<string>>();
  private readonly ends = new ExpiryBuckets();
  private readonly answers: AnswerStore;
  private readonly givenBack = new ReleasedClaims();
  private readonly options: Required<ClaimStateOptions>;

  constructor(options: ClaimStateOptions = {}) {
    this.options = {...DEFAULTS, ...options};
    this.answers = new AnswerStore(this.options);
  }

  /** Claims kept now. */
  get size(): number {
    return this.rows.size;
  }

  /** Bytes of the answers kept now. */
  get storedAnswerBytes(): number {
    return this.answers.bytes;
  }

  /** The entries that hold running claims. */
  holders(): ClaimHolder[] {
    return [...this.running.keys()].map(text => {
      const [entry, boot] = JSON.parse(text) as [string, string];
      return {entry, boot};
    });
  }

  /** Decides a claim proposed at time `at`, in milliseconds; the first for a key wins. */
  take(claim: Claim, at: number): ClaimOutcome {
    this.advance(at);
    const id = rowId(claim.customer, claim.key);
    const row = this.live(id);
    if (row !== undefined) {
      return existingClaimOutcome(row, claim);
    }
    if (this.givenBack.has(id, claim.request, this.clock)) {
      return {outcome: 'not-run', request: claim.request};
    }
    if (this.rows.size >= this.options.maxClaims) {
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

  /** Ends a running claim; only the request that holds it may. */
  complete(completion: Completion, at: number): void {
    this.advance(at);
    const id = rowId(completion.customer, completion.key);
    const row = this.live(id);
    const isHeld =
      row?.state === 'running' && row.request === completion.request;
    if (completion.result === 'not-run') {
      this.givenBack.add(id, completion.request, this.clock);
    }
    if (!isHeld) {
      return;
    }
    if (completion.result === 'not-run') {
      this.drop(id, row);
      return;
    }
    this.end(id, row, completion.result);
    this.answers.keep(row, completion.answer);
  }

  /** Marks the running claims of an entry that is lost as unknown, for good. */
  markEntryLost(entry: string, boot: string, at: number): void {
    this.advance(at);
    for (const id of [...(this.running.get(holderKey(entry, boot)) ?? [])]) {
      const row = this.live(id);
      if (row?.state === 'running') {
        this.end(id, row, 'unknown');
      }
    }
  }

  /** Everything the state holds. */
  snapshot(): ClaimsSnapshot {
    return {
      clock: this.clock,
      rows: [...this.rows],
      givenBack: this.givenBack.snapshot(),
    };
  }

  /** Takes over a snapshot. */
  restore(snapshot: ClaimsSnapshot): void {
    this.rows = new Map();
    this.answers.clear();
    this.running.clear();
    this.ends.clear();
    this.clock = snapshot.clock;
    this.givenBack.restore(snapshot.givenBack ?? []);
    for (const [id, row] of snapshot.rows) {
      const {answer, ...rest} = row;
      const copy: StoredClaim = {...rest};
      this.insert(id, copy);
      this.answers.keep(copy, answer);
    }
  }

  /** The row of a key as it stands at the state's clock. */
  private live(id: string): StoredClaim | undefined {
    const row = this.rows.get(id);
    if (row === undefined || row.endsAt > this.clock) {
      return row;
    }
    if (row.state === 'running') {
      this.end(id, row, 'unknown');
      return row;
    }
    this.drop(id, row);
    return undefined;
  }

  private insert(id: string, row: StoredClaim): void {
    this.rows.set(id, row);
    this.ends.add(id, row.endsAt);
    if (row.state === 'running') {
      const key = holderKey(row.entry, row.boot);
      const held = this.running.get(key) ?? new Set();
      this.running.set(key, held.add(id));
    }
  }

  private end(
    id: string,
    row: StoredClaim,
    state: 'completed' | 'unknown',
  ): void {
    this.release(id, row);
    row.state = state;
    row.endsAt = this.clock + row.retentionMs;
    // The order of rows is the order of their ends, which a snapshot keeps.
    this.rows.delete(id);
    this.rows.set(id, row);
    this.ends.add(id, row.endsAt);
  }

  private drop(id: string, row: StoredClaim): void {
    this.release(id, row);
    this.answers.drop(row);
    this.rows.delete(id);
  }

  private release(id: string, row: StoredClaim): void {
    const key = holderKey(row.entry, row.boot);
    const held = this.running.get(key);
    held?.delete(id);
    if (held?.size === 0) {
      this.running.delete(key);
    }
  }

  /** Moves the clock on and settles the rows whose time is over, by whole minutes. */
  private advance(at: number): void {
    this.clock = Math.max(this.clock, at);
    this.givenBack.expire(this.clock);
    this.ends.takeDue(this.clock).forEach(id => this.live(id));
  }
}

function rowId(customer: string, key: string): string {
  return `${customer}/${key}`;
}

function holderKey(entry: string, boot: string): string {
  return JSON.stringify([entry, boot]);
}
