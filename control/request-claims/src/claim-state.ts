import type {
  Claim,
  ClaimOutcome,
  Completion,
  StoredAnswer,
} from '@marigoldspur/messages';

interface ClaimRow {
  readonly digest: string;
  readonly request: string;
  readonly entry: string;
  readonly boot: string;
  readonly expiresAt: number;
  state: 'running' | 'completed' | 'unknown';
  answer?: StoredAnswer;
}

/** Everything a claim state holds, for snapshots: rows by customer and key. */
export type ClaimsSnapshot = ReadonlyArray<readonly [string, ClaimRow]>;

/** The claims of requests that may not be repeated. */
export class ClaimState {
  private rows = new Map<string, ClaimRow>();

  /** Claims kept now. */
  get size(): number {
    return this.rows.size;
  }

  /** Decides a claim at time `now`, in milliseconds; the first for a key wins. */
  take(claim: Claim, now: number): ClaimOutcome {
    const id = rowId(claim.customer, claim.key);
    const row = this.rows.get(id);
    if (row === undefined || row.expiresAt <= now) {
      this.rows.set(id, {
        digest: claim.digest,
        request: claim.request,
        entry: claim.entry,
        boot: claim.boot,
        expiresAt: now + claim.retentionMs,
        state: 'running',
      });
      return {outcome: 'granted'};
    }
    return outcomeOf(row, claim);
  }

  /** Ends a claim; only the request that holds it may. */
  complete(completion: Completion): void {
    const id = rowId(completion.customer, completion.key);
    const row = this.rows.get(id);
    if (row === undefined || row.request !== completion.request) {
      return;
    }
    if (completion.result === 'not-run') {
      this.rows.delete(id);
      return;
    }
    row.state = completion.result;
    row.answer = completion.answer;
  }

  /** Marks the running claims of an entry that is lost as unknown, for good. */
  loseEntry(entry: string, boot: string): void {
    for (const row of this.rows.values()) {
      if (row.state === 'running' && row.entry === entry && row.boot === boot) {
        row.state = 'unknown';
      }
    }
  }

  /** Drops the claims whose retention ended before `now`. */
  expire(now: number): void {
    for (const [id, row] of this.rows) {
      if (row.expiresAt <= now) {
        this.rows.delete(id);
      }
    }
  }

  /** Everything the state holds. */
  snapshot(): ClaimsSnapshot {
    return [...this.rows];
  }

  /** Takes over a snapshot. */
  restore(snapshot: ClaimsSnapshot): void {
    this.rows = new Map(snapshot.map(([id, row]) => [id, {...row}]));
  }
}

function rowId(customer: string, key: string): string {
  return `${customer}/${key}`;
}

function outcomeOf(row: ClaimRow, claim: Claim): ClaimOutcome {
  if (row.digest !== claim.digest) {
    return {outcome: 'mismatch', request: row.request};
  }
  if (row.state === 'running' && row.request === claim.request) {
    return {outcome: 'granted'};
  }
  if (row.state === 'completed') {
    return {outcome: 'completed', request: row.request, answer: row.answer};
  }
  return {outcome: row.state, request: row.request};
}
