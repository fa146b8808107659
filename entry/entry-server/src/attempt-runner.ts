import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {
  promptPrefixes,
  type AttemptResponse,
  type AttemptClient,
  type ChosenDestination,
  type Destination,
  type PromptPrefix,
  type TargetDirectory,
} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {Hop, StoredAnswer} from '@marigoldspur/messages';
import {PlacementPolicyCache} from '@marigoldspur/placement';
import {
  combineRefusals,
  isRetryAllowed,
  retryDelayMs,
  type RetryBudget,
} from '@marigoldspur/retries';
import {formatModel} from '@marigoldspur/settings-schema';
import type {ResponseSender} from './response-sender.js';
import type {EntryMetrics} from './entry-metrics.js';
import {remainingMs, isRepeatable, type Job} from './job.js';
import {RequestStreamResumer} from './request-stream-resumer.js';

/** What an attempt runner works with. */
export interface AttemptRunnerOptions {
  readonly directory: TargetDirectory;
  readonly attemptClient: AttemptClient;
  readonly responseSender: ResponseSender;
  readonly retryBudget: RetryBudget;
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
  /** Base URL of the process, from which agents can pull newer settings. */
  readonly origin: () => string;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** How a run ended: the answer that is kept for a resend, where there is one. */
export type RunResult = Result<StoredAnswer | undefined, Refusal>;

/** One try of a job at one target. */
interface Sending {
  readonly job: Job;
  readonly destination: Destination;
  readonly attempt: number;
  /** Key of the whole prompt, where hints of cached prefixes are used. */
  readonly prefix: string | undefined;
}

const RETRY_SOON_SECONDS = 1;

/** Runs jobs at one target after another until one answers. */
export class AttemptRunner {
  private readonly placements: PlacementPolicyCache;

  constructor(private readonly options: AttemptRunnerOptions) {
    this.placements = new PlacementPolicyCache(options.random);
  }

  /** Runs a job and answers its caller; a refusal is left to be sent. */
  async run(job: Job, response: ServerResponse): Promise<RunResult> {
    this.options.retryBudget.recordRequest(
      job.settings.retryBudgetRatio,
      performance.now(),
    );
    const tried = new Set<string>();
    const refusals: Refusal[] = [];
    const prefixes = prefixesOf(job);
    for (let attempt = 1; ; attempt += 1) {
      const destination = this.chooseDestination(job, tried, prefixes);
      if (destination === undefined) {
        return Result.err(refusals.at(-1) ?? noTarget());
      }
      if (job.callerGone.aborted) {
        return Result.err(combineRefusals(refusals, callerGone()));
      }
      tried.add(destination.target);
      if (destination.prefixLocation !== undefined) {
        const {service} = job.request;
        this.options.metrics.recordPrefixHint(
          service,
          destination.prefixLocation,
        );
      }
      const prefix = prefixes.at(-1)?.key;
      const sending = {job, destination, attempt, prefix};
      const ended = await this.attempt(sending, response);
      if (ended.isOk) {
        return ended;
      }
      const refusal = combineRefusals(refusals, ended.error);
      refusals.push(refusal);
      const waitMs = this.retryWaitMs(job, refusal, attempt, response);
      if (waitMs === undefined) {
        return Result.err(refusal);
      }
      await this.pauseBeforeRetry(job, attempt + 1, refusal, waitMs);
    }
  }

  /** Time until a refused job may be tried again; undefined where it may not. */
  private retryWaitMs(
    job: Job,
    refusal: Refusal,
    attempt: number,
    response: ServerResponse,
  ): number | undefined {
    const {maxAttempts, retryBudgetRatio} = job.settings;
    const isLast = attempt >= maxAttempts || retryBudgetRatio === 0;
    if (isLast || job.signal.aborted) {
      return undefined;
    }
    const allowed = isRetryAllowed({
      refusal,
      repeatable: isRepeatable(job),
      answerBegun: response.headersSent,
    });
    return allowed
      ? this.options.retryBudget.reserveRetry(performance.now())
      : undefined;
  }

  private async pauseBeforeRetry(
    job: Job,
    attempt: number,
    refusal: Refusal,
    waitMs: number,
  ): Promise<void> {
    const {events, random} = this.options;
    const {reason, outcome} = refusal;
    events.record('attempt-retried', {attempt, reason, outcome}, job.id);
    const pauseMs = waitMs + retryDelayMs(attempt, random());
    await pause(pauseMs, undefined, {signal: job.signal}).catch(() => {});
  }

  private chooseDestination(
    job: Job,
    tried: ReadonlySet<string>,
    prefixes: readonly PromptPrefix[],
  ): ChosenDestination | undefined {
    const {request, settings} = job;
    const {directory} = this.options;
    const model =
      request.kind === 'model' ? formatModel(request.model) : undefined;
    return directory.choose(
      {
        customer: request.customer,
        service: request.service,
        model,
        tried,
        prefixes,
      },
      this.placements.policyFor(
        `${request.customer}/${request.service}`,
        settings,
      ),
      performance.now(),
    );
  }

  private async attempt(
    sending: Sending,
    response: ServerResponse,
  ): Promise<RunResult> {
    const {attempt, destination, job} = sending;
    const {responseSender: answers, directory, events} = this.options;
    const {target} = destination;
    const end = directory.startAttempt(target);
    events.record('request-dispatched', {attempt, target}, job.id);
    try {
      const sent = await this.send(sending);
      if (sent.isErr) {
        this.cancelIfGone(job, destination, attempt);
        return Result.err(sent.error);
      }
      const answer = sent.value;
      const link = new RequestStreamResumer({
        ...this.options,
        job,
        destination,
        answer,
      });
      return await answers.send(job, answer, response, link);
    } finally {
      end();
    }
  }

  /** A stream whose head was on its way would else be kept for a resume. */
  private cancelIfGone(
    job: Job,
    destination: Destination,
    attempt: number,
  ): void {
    if (job.signal.aborted && job.request.kind === 'model') {
      const hop = hopOf(job, destination.target, attempt);
      this.options.attemptClient.cancel(hop, destination);
    }
  }

  private async send({
    attempt,
    destination,
    job,
    prefix,
  }: Sending): Promise<Result<AttemptResponse, Refusal>> {
    const sent = await this.options.attemptClient.send({
      hop: {
        ...hopOf(job, destination.target, attempt),
        origin: this.options.origin(),
        prefix,
      },
      destination,
      method: job.method,
      url: job.request.url,
      headers: job.headers,
      body: job.body,
      signal: job.signal,
      firstByteTimeoutMs: job.settings.firstByteTimeoutMs,
    });
    if (sent.isErr && sent.error.reason === 'crossed_answer') {
      this.options.events.record('answer-crossed', {attempt}, job.id);
    }
    return sent;
  }
}

function hopOf(job: Job, target: string, attempt: number): Hop {
  const {request, settings} = job;
  return {
    request: job.id,
    attempt,
    model: request.kind === 'model' ? request.model : undefined,
    target,
    revision: job.revision,
    budgetMs: remainingMs(job, performance.now()),
    firstByteMs: settings.firstByteTimeoutMs,
    priority: settings.priority,
    repeatable: isRepeatable(job),
  };
}

/** The prefixes of a job's prompt, where its service uses hints of cached ones. */
function prefixesOf({body, request, settings}: Job): PromptPrefix[] {
  return request.kind === 'model' && settings.prefixAffinity > 0
    ? promptPrefixes(formatModel(request.model), body)
    : [];
}

function noTarget(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'no_target',
    'no target serves this now',
    RETRY_SOON_SECONDS,
  );
}

function callerGone(): Refusal {
  return new Refusal('not-run', 499, 'caller_gone', 'the caller went away');
}
