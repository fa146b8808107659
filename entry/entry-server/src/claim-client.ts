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

/** What a claim desk works with. */
export interface ClaimClientOptions {
  readonly client: Pick<ControlClient, 'call'>;
  readonly events: EventLog;
  /** Entry that claims, and its boot. */
  readonly entry: string;
  readonly boot: string;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** What is claimed. */
export interface ClaimRequest {
  readonly customer: string;
  readonly key: string;
  readonly method: string;
  readonly url: string;
  readonly body: Buffer;
  readonly request: string;
  readonly retentionMs: number;
}

/** A claim that was granted, or the answer that was kept from the first run. */
export type ClaimResult =
  | {readonly result: 'granted'}
  | {readonly result: 'answered'; readonly answer: StoredAnswer};

/** Longest time that a caller waits for its claim; past it the request is refused. */
const CLAIM_TIMEOUT_MS = 1_500;
const COMPLETION_CALL_MS = 5_000;
const COMPLETION_PAUSE_MS = 200;
const RETRY_SOON_SECONDS = 1;
const RETRY_SPREAD_SECONDS = 3;
const MS_PER_SECOND = 1_000;

/** Claims requests that may not be repeated, before they are dispatched. */
export class ClaimClient {
  private readonly pending = new Set<Promise<void>>();
  /** Whether the last claim had no answer. */
  private away = false;
  private asking = 0;

  constructor(private readonly options: ClaimClientOptions) {}

  /** Ends of claims that control has not taken yet. */
  get pendingCompletions(): number {
    return this.pending.size;
  }

  /**
   * Takes a claim; a refusal says what is known of the first run. While control gives
   * no answer, one claim at a time asks for it and all others are refused at once.
   */
  async acquire(need: ClaimRequest): Promise<Result<ClaimResult, Refusal>> {
    if (this.away && this.asking > 0) {
      return Result.err(this.unavailable());
    }
    const taken = await this.ask(claimOf(need, this.options));
    this.away = taken.isErr;
    if (taken.isErr) {
      // The claim may have been taken though its answer was lost: give it back.
      const {customer, key, request, retentionMs} = need;
      const completion = {customer, key, request, result: 'not-run'} as const;
      this.complete(completion, retentionMs);
      return Result.err(this.unavailable());
    }
    return taken.value.outcome === 'not-run'
      ? Result.err(this.unavailable())
      : resultOf(taken.value);
  }

  /** Callers who are refused at one moment come back at several. */
  private unavailable(): Refusal {
    const spread = Math.floor(this.options.random() * RETRY_SPREAD_SECONDS);
    return new Refusal(
      'not-run',
      503,
      'claim_unavailable',
      'the request could not be claimed',
      RETRY_SOON_SECONDS + spread,
    );
  }

  private async ask(claim: Claim): Promise<Result<ClaimOutcome, Fault>> {
    this.asking += 1;
    try {
      return await this.options.client.call(
        (replica, signal) => replica.takeClaim.mutate(claim, {signal}),
        performance.now() + CLAIM_TIMEOUT_MS,
      );
    } finally {
      this.asking -= 1;
    }
  }

  /** Ends a claim: control is asked until it answers or `retentionMs` is over. */
  complete(completion: Completion, retentionMs: number): void {
    const told = this.tell(completion, performance.now() + retentionMs);
    this.pending.add(told);
    void told.finally(() => this.pending.delete(told));
  }

  /** Resolves once control took every completion, at the latest after `waitMs`. */
  async waitForCompletions(waitMs: number): Promise<void> {
    const stop = new AbortController();
    const bound = pause(waitMs, undefined, {signal: stop.signal}).catch(
      () => {},
    );
    await Promise.race([Promise.all(this.pending), bound]);
    stop.abort();
  }

  private async tell(completion: Completion, deadline: number): Promise<void> {
    const {client, events} = this.options;
    while (performance.now() < deadline) {
      const done = await client.call(
        (replica, signal) => replica.completeClaim.mutate(completion, {signal}),
        Math.min(deadline, performance.now() + COMPLETION_CALL_MS),
      );
      if (done.isOk) {
        return;
      }
      const {code, message} = done.error;
      events.record('completion-lost', {code, message}, completion.request);
      if (code === 'INVALID_INPUT') {
        return;
      }
      await pause(COMPLETION_PAUSE_MS);
    }
  }
}

function claimOf(
  need: ClaimRequest,
  claimer: {readonly entry: string; readonly boot: string},
): Claim {
  const {customer, key, request, retentionMs} = need;
  const {entry, boot} = claimer;
  const digest = digestOf(need);
  return {customer, key, digest, request, entry, boot, retentionMs};
}

function resultOf(
  outcome: Exclude<ClaimOutcome, {outcome: 'not-run'}>,
): Result<ClaimResult, Refusal> {
  switch (outcome.outcome) {
    case 'granted':
      return Result.ok({result: 'granted'});
    case 'running':
      return Result.err(
        conflict(
          'already_running',
          `request ${outcome.request} with this key runs now`,
          RETRY_SOON_SECONDS,
        ),
      );
    case 'completed':
      return outcome.answer !== undefined
        ? Result.ok({result: 'answered', answer: outcome.answer})
        : Result.err(
            conflict(
              'already_run',
              `request ${outcome.request} ran with this key; its answer was not kept`,
            ),
          );
    case 'unknown':
      return Result.err(
        conflict(
          'outcome_unknown',
          `request ${outcome.request} with this key may have run and is not repeated`,
        ),
      );
    case 'mismatch':
      return Result.err(
        new Refusal(
          'not-run',
          422,
          'key_reused',
          'the key was used with another request',
        ),
      );
    case 'full':
      return Result.err(
        new Refusal(
          'not-run',
          503,
          'claims_full',
          'no more keys can be kept now',
          Math.ceil(outcome.retryAfterMs / MS_PER_SECOND),
        ),
      );
  }
}

function conflict(reason: string, message: string, retryAfter?: number) {
  return new Refusal('unknown', 409, reason, message, retryAfter);
}

function digestOf(need: ClaimRequest): string {
  return createHash('sha256')
    .update(`${need.method} ${need.url}\n`)
    .update(need.body)
    .digest('hex');
}
