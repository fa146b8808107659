import {createHash} from 'node:crypto';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {ControlClient} from '@marigoldspur/control-client';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal, type Fault} from '@marigoldspur/faults';
import type {
  Claim,
  ClaimOutcome,
  Completion,
  StoredAnswer,
} from '@marigoldspur/messages';

/** Options of a claim client. */
export interface ClaimClientOptions {
  readonly client: Pick<ControlClient, 'call'>;
  readonly events: EventLog;
  /** Name and boot ID of the claiming entry. */
  readonly entry: string;
  readonly boot: string;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** The request to claim. */
export interface ClaimRequest {
  readonly customer: string;
  /** The caller's `Idempotency-Key`. */
  readonly key: string;
  readonly method: string;
  /** Path on the target. */
  readonly url: string;
  readonly body: Buffer;
  /** Request ID. */
  readonly request: string;
  /** How long control keeps the claim, in milliseconds. */
  readonly retentionMs: number;
}

/** A granted claim, or the stored response of the first run. */
export type ClaimResult =
  | {readonly result: 'granted'}
  | {readonly result: 'answered'; readonly answer: StoredAnswer};

/**
 * Maximum time that a caller waits for its claim, in milliseconds; after that
 * the request is refused.
 */
const CLAIM_TIMEOUT_MS = 1_500;
const COMPLETION_TIMEOUT_MS = 5_000;
const COMPLETION_RETRY_DELAY_MS = 200;
const RETRY_AFTER_SECONDS = 1;
const RETRY_JITTER_SECONDS = 3;
const MS_PER_SECOND = 1_000;

/**
 * Claims idempotency keys at control before requests that must not be repeated
 * are dispatched.
 */
export class ClaimClient {
  private readonly pending = new Set<Promise<void>>();
  /** Whether the last claim got no answer from control. */
  private isControlUnavailable = false;
  private activeCalls = 0;

  constructor(private readonly options: ClaimClientOptions) {}

  /** Number of completions that control has not accepted yet. */
  get pendingCompletions(): number {
    return this.pending.size;
  }

  /**
   * Acquires a claim. A refusal states what is known about the first run. While
   * control does not answer, one claim at a time is sent and all others are
   * refused immediately.
   */
  async acquire(
    claimRequest: ClaimRequest,
  ): Promise<Result<ClaimResult, Refusal>> {
    if (this.isControlUnavailable && this.activeCalls > 0) {
      return Result.err(this.createUnavailableRefusal());
    }
    const claimed = await this.sendClaim(
      createClaim(claimRequest, this.options),
    );
    this.isControlUnavailable = claimed.isErr;
    if (claimed.isErr) {
      // The claim may have been granted even though the answer was lost, so
      // release it.
      const {customer, key, request, retentionMs} = claimRequest;
      const completion = {customer, key, request, result: 'not-run'} as const;
      this.complete(completion, retentionMs);
      return Result.err(this.createUnavailableRefusal());
    }
    return claimed.value.outcome === 'not-run'
      ? Result.err(this.createUnavailableRefusal())
      : toResult(claimed.value);
  }

  /**
   * The retry delay has jitter, so that callers refused at the same time do not
   * retry together.
   */
  private createUnavailableRefusal(): Refusal {
    const jitter = Math.floor(this.options.random() * RETRY_JITTER_SECONDS);
    return new Refusal(
      'not-run',
      503,
      'claim_unavailable',
      'the idempotency key could not be claimed',
      RETRY_AFTER_SECONDS + jitter,
    );
  }

  private async sendClaim(claim: Claim): Promise<Result<ClaimOutcome, Fault>> {
    this.activeCalls += 1;
    try {
      return await this.options.client.call(
        (replica, signal) => replica.takeClaim.mutate(claim, {signal}),
        performance.now() + CLAIM_TIMEOUT_MS,
      );
    } finally {
      this.activeCalls -= 1;
    }
  }

  /**
   * Completes a claim. The completion is sent again until control answers or
   * `retentionMs` has passed.
   */
  complete(completion: Completion, retentionMs: number): void {
    const report = this.reportCompletion(
      completion,
      performance.now() + retentionMs,
    );
    this.pending.add(report);
    void report.finally(() => this.pending.delete(report));
  }

  /**
   * Resolves once control has accepted all completions, or after `waitMs`
   * milliseconds.
   */
  async waitForCompletions(waitMs: number): Promise<void> {
    const stop = new AbortController();
    const timeout = pause(waitMs, undefined, {signal: stop.signal}).catch(
      () => {},
    );
    await Promise.race([Promise.all(this.pending), timeout]);
    stop.abort();
  }

  private async reportCompletion(
    completion: Completion,
    deadline: number,
  ): Promise<void> {
    const {client, events} = this.options;
    while (performance.now() < deadline) {
      const done = await client.call(
        (replica, signal) => replica.completeClaim.mutate(completion, {signal}),
        Math.min(deadline, performance.now() + COMPLETION_TIMEOUT_MS),
      );
      if (done.isOk) {
        return;
      }
      const {code, message} = done.error;
      events.record('completion-lost', {code, message}, completion.request);
      if (code === 'INVALID_INPUT') {
        return;
      }
      await pause(COMPLETION_RETRY_DELAY_MS);
    }
  }
}

function createClaim(
  claimRequest: ClaimRequest,
  claimant: {readonly entry: string; readonly boot: string},
): Claim {
  const {customer, key, request, retentionMs} = claimRequest;
  const {entry, boot} = claimant;
  const digest = computeRequestDigest(claimRequest);
  return {customer, key, digest, request, entry, boot, retentionMs};
}

function toResult(
  outcome: Exclude<ClaimOutcome, {outcome: 'not-run'}>,
): Result<ClaimResult, Refusal> {
  switch (outcome.outcome) {
    case 'granted':
      return Result.ok({result: 'granted'});
    case 'running':
      return Result.err(
        createConflictRefusal(
          'already_running',
          `request ${outcome.request} with this key is still running`,
          RETRY_AFTER_SECONDS,
        ),
      );
    case 'completed':
      return outcome.answer !== undefined
        ? Result.ok({result: 'answered', answer: outcome.answer})
        : Result.err(
            createConflictRefusal(
              'already_run',
              `request ${outcome.request} ran with this key; its response was not stored`,
            ),
          );
    case 'unknown':
      return Result.err(
        createConflictRefusal(
          'outcome_unknown',
          `request ${outcome.request} with this key may have run and will not be repeated`,
        ),
      );
    case 'mismatch':
      return Result.err(
        new Refusal(
          'not-run',
          422,
          'key_reused',
          'the key was already used with a different request',
        ),
      );
    case 'full':
      return Result.err(
        new Refusal(
          'not-run',
          503,
          'claims_full',
          'no more idempotency keys can be stored at present',
          Math.ceil(outcome.retryAfterMs / MS_PER_SECOND),
        ),
      );
  }
}

function createConflictRefusal(
  reason: string,
  message: string,
  retryAfter?: number,
) {
  return new Refusal('unknown', 409, reason, message, retryAfter);
}

function computeRequestDigest(claimRequest: ClaimRequest): string {
  return createHash('sha256')
    .update(`${claimRequest.method} ${claimRequest.url}\n`)
    .update(claimRequest.body)
    .digest('hex');
}
