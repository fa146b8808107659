import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {unlessAborted} from '@marigoldspur/abort-signals';
import {formatRefusalBody} from '@marigoldspur/caller-api';
import type {EventLog} from '@marigoldspur/event-log';
import {createShuttingDownRefusal} from '@marigoldspur/drain-admission';
import type {Refusal} from '@marigoldspur/faults';
import type {Completion, StoredAnswer} from '@marigoldspur/messages';
import type {AttemptRunner, RunResult} from './attempt-runner.js';
import type {ClaimClient, ClaimResult} from './claim-client.js';
import type {Job} from './job.js';

/** A job whose caller sent an `Idempotency-Key`. */
export interface KeyedJob extends Job {
  readonly key: string;
}

/** Options of an idempotent runner. */
export interface IdempotentRunnerOptions {
  readonly claimClient: ClaimClient;
  readonly runner: AttemptRunner;
  /** Aborts when requests that still run have to be answered. */
  readonly shutdownSignal: AbortSignal;
  readonly events: EventLog;
}

/** Runs jobs under a claim, so that at most one job runs per idempotency key. */
export class IdempotentRunner {
  constructor(private readonly options: IdempotentRunnerOptions) {}

  /**
   * Claims and runs a job, or replays the response of its first run. A refusal
   * is returned, not sent.
   */
  async run(
    job: KeyedJob,
    response: ServerResponse,
  ): Promise<Refusal | undefined> {
    const {claimClient, runner} = this.options;
    const claimed = await this.claim(job);
    if (claimed.isErr) {
      return claimed.error;
    }
    if (claimed.value.result === 'answered') {
      this.replay(job, claimed.value.answer, response);
      return undefined;
    }
    let completion = createCompletion(job, undefined);
    try {
      const result = await runner.run(job, response);
      completion = createCompletion(job, result);
      return result.isErr ? result.error : undefined;
    } finally {
      claimClient.complete(completion, job.settings.claimRetentionMs);
    }
  }

  /** Claims a job, unless this entry ends first. */
  private async claim(job: KeyedJob): Promise<Result<ClaimResult, Refusal>> {
    const {claimClient, shutdownSignal} = this.options;
    const {claimRetentionMs: retentionMs} = job.settings;
    const {customer, url} = job.request;
    const {body, id: request, key, method} = job;
    const claimed = await unlessAborted(
      claimClient.acquire({
        customer,
        key,
        method,
        url,
        body,
        request,
        retentionMs,
      }),
      shutdownSignal,
    );
    if (claimed !== undefined) {
      return claimed;
    }
    const completion = {customer, key, request, result: 'not-run'} as const;
    claimClient.complete(completion, retentionMs);
    return Result.err(createShuttingDownRefusal());
  }

  private replay(
    job: KeyedJob,
    storedAnswer: StoredAnswer,
    response: ServerResponse,
  ): void {
    const {status, contentType, headers, body} = storedAnswer;
    for (const {name, value} of headers ?? []) {
      response.appendHeader(name, value);
    }
    response.setHeader('x-request-id', job.id);
    response.setHeader('idempotent-replayed', 'true');
    if (contentType !== '') {
      response.setHeader('content-type', contentType);
    }
    response.statusCode = status;
    response.end(Buffer.from(body, 'base64'));
    this.options.events.record('answer-replayed', {status}, job.id);
  }
}

/**
 * The completion that is reported to control; `unknown` if the run has no
 * result because it threw an error.
 */
function createCompletion(
  job: KeyedJob,
  result: RunResult | undefined,
): Completion {
  const claim = {
    customer: job.request.customer,
    key: job.key,
    request: job.id,
  };
  if (result === undefined) {
    return {...claim, result: 'unknown'};
  }
  if (result.isOk) {
    return {...claim, result: 'completed', answer: result.value};
  }
  const refusal = result.error;
  return refusal.outcome === 'failed'
    ? {...claim, result: 'completed', answer: toStoredRefusal(refusal, job.id)}
    : {...claim, result: refusal.outcome};
}

function toStoredRefusal(refusal: Refusal, request: string): StoredAnswer {
  const body = Buffer.from(formatRefusalBody(refusal, request));
  return {
    status: refusal.status,
    contentType: 'application/json',
    body: body.toString('base64'),
  };
}
