import {setTimeout as delay} from 'node:timers/promises';
import type {ControlClient} from '@marigoldspur/control-client';
import type {Claim, ClaimOutcome} from '@marigoldspur/messages';

/** Results of a claim load. */
export interface ClaimRecord {
  /** Keys whose claim was granted. */
  readonly granted: readonly string[];
  /** Keys whose claim was not answered or not granted. */
  readonly unresolved: readonly string[];
}

/** Options of a claim load. */
export interface ClaimLoadOptions {
  /** Number of concurrent claims. */
  readonly proposers: number;
  /** Number of claims after which the load ends; unlimited by default. */
  readonly limit?: number;
  /** Prefix of each key; `key` by default. */
  readonly prefix?: string;
  /** Timeout of one claim, in milliseconds; 10 s by default. */
  readonly claimTimeoutMs?: number;
  /** Receives the duration of each granted claim, in milliseconds. */
  readonly onGranted?: (durationMs: number) => void;
}

const RETENTION_MS = 3_600_000;
const CLAIM_TIMEOUT_MS = 10_000;
const POLL_MS = 10;

/** Takes claims for different keys, all for the request `first`, until it reaches its limit or is stopped. */
export class ClaimLoad {
  private readonly granted: string[] = [];
  private readonly unresolved: string[] = [];
  private isRunning = true;
  private startedCount = 0;
  private readonly workers: Array<Promise<void>>;

  constructor(
    private readonly client: ControlClient,
    private readonly options: ClaimLoadOptions,
  ) {
    this.workers = Array.from({length: options.proposers}, () =>
      this.runWorker(),
    );
  }

  /** Resolves once `count` more claims have been granted. */
  async waitForGranted(count: number): Promise<void> {
    const targetCount = this.granted.length + count;
    while (this.granted.length < targetCount) {
      await delay(POLL_MS);
    }
  }

  /** Resolves once the load has reached its limit and all claims have ended. */
  async waitUntilDone(): Promise<void> {
    await Promise.all(this.workers);
  }

  /** Ends the load after the claims in progress; returns the results of all claims. */
  async stop(): Promise<ClaimRecord> {
    this.isRunning = false;
    await Promise.all(this.workers);
    return {granted: this.granted, unresolved: this.unresolved};
  }

  private async runWorker(): Promise<void> {
    const {limit = Infinity, prefix = 'key'} = this.options;
    while (this.isRunning && this.startedCount < limit) {
      this.startedCount += 1;
      const key = `${prefix}-${this.startedCount}`;
      const startedAt = performance.now();
      const outcome = await takeClaim(this.client, key, 'first', {
        timeoutMs: this.options.claimTimeoutMs ?? CLAIM_TIMEOUT_MS,
      });
      if (outcome?.outcome === 'granted') {
        this.granted.push(key);
        this.options.onGranted?.(performance.now() - startedAt);
      } else {
        this.unresolved.push(key);
      }
    }
  }
}

/** Takes a claim for a request; resolves to undefined if there is no answer before the timeout. */
export async function takeClaim(
  client: ControlClient,
  key: string,
  request: string,
  options: {readonly timeoutMs: number},
): Promise<ClaimOutcome | undefined> {
  const claim: Claim = {
    customer: 'callao',
    key,
    digest: 'digest',
    request,
    entry: 'entry',
    boot: 'boot',
    retentionMs: RETENTION_MS,
  };
  const taken = await client.call(
    (replica, signal) => replica.takeClaim.mutate(claim, {signal}),
    performance.now() + options.timeoutMs,
  );
  return taken.isOk ? taken.value : undefined;
}

/** Finds granted keys that are lost: those that the first request no longer holds. */
export async function findLostClaims(
  client: ControlClient,
  granted: readonly string[],
): Promise<string[]> {
  const lost: string[] = [];
  for (const key of granted) {
    const outcome = await takeClaim(client, key, 'second', {
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    if (!isHeldByFirst(outcome)) {
      lost.push(key);
    }
  }
  return lost;
}

/** Whether the first request holds the claim. Its state may be unknown, because the entry of the load is not a member. */
function isHeldByFirst(outcome: ClaimOutcome | undefined): boolean {
  switch (outcome?.outcome) {
    case 'running':
    case 'unknown':
      return outcome.request === 'first';
    default:
      return false;
  }
}
