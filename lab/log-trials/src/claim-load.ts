import {setTimeout as pause} from 'node:timers/promises';
import type {ControlClient} from '@marigoldspur/control-client';
import type {Claim, ClaimOutcome} from '@marigoldspur/messages';

/** What became of the claims of a load. */
export interface ClaimRecord {
  /** Keys whose claim was granted. */
  readonly granted: readonly string[];
  /** Keys whose outcome is open. */
  readonly open: readonly string[];
}

/** Options of a load of claims. */
export interface ClaimLoadOptions {
  /** Claims that run at once. */
  readonly proposers: number;
  /** Claims after which the load ends by itself. */
  readonly limit?: number;
  /** Starts each key. */
  readonly prefix?: string;
  /** Longest time of one claim, in milliseconds. */
  readonly claimTimeoutMs?: number;
  /** Takes the time that a granted claim took, in milliseconds. */
  readonly onGranted?: (durationMs: number) => void;
}

const RETENTION_MS = 3_600_000;
const CLAIM_TIMEOUT_MS = 10_000;
const POLL_MS = 10;

/** Takes claims of one request for different keys, until it is stopped. */
export class ClaimLoad {
  private readonly granted: string[] = [];
  private readonly open: string[] = [];
  private running = true;
  private count = 0;
  private readonly workers: Array<Promise<void>>;

  constructor(
    private readonly client: ControlClient,
    private readonly options: ClaimLoadOptions,
  ) {
    this.workers = Array.from({length: options.proposers}, () => this.work());
  }

  /** Resolves once `count` further claims were granted. */
  async furtherGranted(count: number): Promise<void> {
    const wanted = this.granted.length + count;
    while (this.granted.length < wanted) {
      await pause(POLL_MS);
    }
  }

  /** Resolves once a load with a limit has ended. */
  async done(): Promise<void> {
    await Promise.all(this.workers);
  }

  /** Ends the load once the claims that run are answered. */
  async stop(): Promise<ClaimRecord> {
    this.running = false;
    await Promise.all(this.workers);
    return {granted: this.granted, open: this.open};
  }

  private async work(): Promise<void> {
    const {limit = Infinity, prefix = 'key'} = this.options;
    while (this.running && this.count < limit) {
      this.count += 1;
      const key = `${prefix}-${this.count}`;
      const startedAt = performance.now();
      const outcome = await takeClaim(this.client, key, 'first', {
        timeoutMs: this.options.claimTimeoutMs ?? CLAIM_TIMEOUT_MS,
      });
      if (outcome?.outcome === 'granted') {
        this.granted.push(key);
        this.options.onGranted?.(performance.now() - startedAt);
      } else {
        this.open.push(key);
      }
    }
  }
}

/** Takes a claim; undefined where it was not answered in time. */
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

/** The keys that were granted, and are forgotten: another request gets them too. */
export async function lostClaims(
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

/** The load's entry is no member, so its claims may have become unknown; the first request still holds them. */
function isHeldByFirst(outcome: ClaimOutcome | undefined): boolean {
  switch (outcome?.outcome) {
    case 'running':
    case 'unknown':
      return outcome.request === 'first';
    default:
      return false;
  }
}
