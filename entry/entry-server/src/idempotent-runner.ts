import type {ServerResponse} from 'node:http';
import {formatRefusalBody} from '@marigoldspur/caller-api';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import type {Completion, StoredAnswer} from '@marigoldspur/messages';
import type {AttemptRunner, RunResult} from './attempt-runner.js';
import type {ClaimClient} from './claim-client.js';
import type {Job} from './job.js';

/** A job whose caller gave an `Idempotency-Key`. */
export interface KeyedJob extends Job {
  readonly key: string;
}

/** What a claimed runner works with. */
export interface IdempotentRunnerOptions {
  readonly claimClient: ClaimClient;
  readonly runner: AttemptRunner;
  readonly events: EventLog;
}

/** Runs jobs under a claim, so that each key runs at most once. */
export class IdempotentRunner {
  constructor(private readonly options: IdempotentRunnerOptions) {}

  /** Claims and runs a job, or replays its first answer; a refusal is left to be sent. */
  async run(
    job: KeyedJob,
    response: ServerResponse,
  ): Promise<Refusal | undefined> {
    const {claimClient: claims, runner} = this.options;
    const claimed = await claims.acquire({
      customer: job.request.customer,
      key: job.key,
      method: job.method,
      url: job.request.url,
      body: job.body,
      request: job.id,
      retentionMs: job.settings.claimRetentionMs,
    });
    if (claimed.isErr) {
      return claimed.error;
    }
    if (claimed.value.result === 'answered') {
      this.replay(job, claimed.value.answer, response);
      return undefined;
    }
    let completion = completionOf(job, undefined);
    try {
      const ended = await runner.run(job, response);
      completion = completionOf(job, ended);
      return ended.isErr ? ended.error : undefined;
    } finally {
      claims.complete(completion, job.settings.claimRetentionMs);
    }
  }

  private replay(
    job: KeyedJob,
    answer: StoredAnswer,
    response: ServerResponse,
  ): void {
    const {status, contentType, headers, body} = answer;
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

/** What control is told of a run; a run without a known end is `unknown`. */
function completionOf(job: KeyedJob, ended: RunResult | undefined): Completion {
  const claim = {
    customer: job.request.customer,
    key: job.key,
    request: job.id,
  };
  if (ended === undefined) {
    return {...claim, result: 'unknown'};
  }
  if (ended.isOk) {
    return {...claim, result: 'completed', answer: ended.value};
  }
  const refusal = ended.error;
  return refusal.outcome === 'failed'
    ? {...claim, result: 'completed', answer: failedAnswer(refusal, job.id)}
    : {...claim, result: refusal.outcome};
}

function failedAnswer(refusal: Refusal, request: string): StoredAnswer {
  const body = Buffer.from(formatRefusalBody(refusal, request));
  return {
    status: refusal.status,
    contentType: 'application/json',
    body: body.toString('base64'),
  };
}
