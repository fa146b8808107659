import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {
  computePromptPrefixes,
  type AttemptResponse,
  type AttemptClient,
  type ChosenDestination,
  type Destination,
  type PromptPrefix,
  type TargetDirectory,
} from '@marigoldspur/dispatch';
import {
  createShuttingDownRefusal,
  type CallDurations,
  type DrainAdmission,
} from '@marigoldspur/drain-admission';
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

/** Options of an attempt runner. */
export interface AttemptRunnerOptions {
  readonly directory: TargetDirectory;
  readonly attemptClient: AttemptClient;
  readonly responseSender: ResponseSender;
  readonly retryBudget: RetryBudget;
  readonly drainAdmission: Pick<DrainAdmission, 'maySend'>;
  readonly durations: Pick<CallDurations, 'record'>;
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
  /** Base URL of this process, from which agents can pull newer settings. */
  readonly origin: () => string;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** Result of a run: the response stored for a replay, if any, or a refusal. */
export type RunResult = Result<StoredAnswer | undefined, Refusal>;

/** One attempt to serve a job at one target. */
interface AttemptContext {
  readonly job: Job;
  readonly destination: Destination;
  readonly attempt: number;
  /** Key of the whole prompt if prefix hints are used. */
  readonly prefix: string | undefined;
}

const RETRY_AFTER_SECONDS = 1;

/** Tries targets one after another until one responds to the job. */
export class AttemptRunner {
  private readonly placementPolicies: PlacementPolicyCache;

  constructor(private readonly options: AttemptRunnerOptions) {
    this.placementPolicies = new PlacementPolicyCache(options.random);
  }

  /** Runs a job and responds to its caller. A refusal is returned, not sent. */
  async run(job: Job, response: ServerResponse): Promise<RunResult> {
    this.options.retryBudget.recordRequest(
      job.settings.retryBudgetRatio,
      performance.now(),
    );
    const tried = new Set<string>();
    const refusals: Refusal[] = [];
    const prefixes = prefixesOf(job);
    for (let attempt = 1; ; attempt += 1) {
      if (!this.maySend(job, performance.now())) {
        return Result.err(
          combineRefusals(refusals, createShuttingDownRefusal()),
        );
      }
      const destination = this.chooseDestination(job, tried, prefixes);
      if (destination === undefined) {
        return Result.err(refusals.at(-1) ?? createNoTargetRefusal());
      }
      if (job.disconnectSignal.aborted) {
        return Result.err(
          combineRefusals(refusals, createCallerDisconnectedRefusal()),
        );
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
      const context = {job, destination, attempt, prefix};
      const result = await this.attempt(context, response);
      if (result.isOk) {
        return result;
      }
      const refusal = combineRefusals(refusals, result.error);
      refusals.push(refusal);
      const waitMs = this.retryWaitMs(job, refusal, attempt, response);
      if (waitMs === undefined) {
        return Result.err(refusal);
      }
      await this.pauseBeforeRetry(job, attempt + 1, refusal, waitMs);
    }
  }

  /**
   * Delay before a refused job may be retried, in milliseconds; undefined if it
   * may not.
   */
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
    const isAllowed = isRetryAllowed({
      refusal,
      repeatable: isRepeatable(job),
      hasResponseStarted: response.headersSent,
    });
    return isAllowed
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

  /** Whether a job that is sent now is expected to end before a shutdown of this entry does. */
  private maySend(job: Job, now: number): boolean {
    const outlook = {
      route: routeOf(job),
      isRepeatable: isRepeatable(job),
      assumedMs: job.settings.firstByteTimeoutMs,
    };
    return this.options.drainAdmission.maySend(outlook, now);
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
      this.placementPolicies.policyFor(
        `${request.customer}/${request.service}`,
        settings,
      ),
      performance.now(),
    );
  }

  private async attempt(
    context: AttemptContext,
    response: ServerResponse,
  ): Promise<RunResult> {
    const {attempt, destination, job} = context;
    const {responseSender, directory, durations, events} = this.options;
    const {target} = destination;
    const sentAt = performance.now();
    const endAttempt = directory.startAttempt(target);
    events.record('request-dispatched', {attempt, target}, job.id);
    try {
      const sent = await this.send(context);
      if (sent.isErr) {
        this.cancelIfCallerDisconnected(job, destination, attempt);
        return Result.err(sent.error);
      }
      const upstream = sent.value;
      const resumer = new RequestStreamResumer({
        ...this.options,
        job,
        destination,
        upstream,
      });
      const result = await responseSender.send(
        job,
        upstream,
        response,
        resumer,
      );
      if (result.isOk) {
        durations.record(routeOf(job), performance.now() - sentAt);
      }
      return result;
    } finally {
      endAttempt();
    }
  }

  /**
   * Cancels an attempt whose caller has disconnected. Otherwise the agent would
   * keep a stream whose headers it had already sent, so that it can be resumed.
   */
  private cancelIfCallerDisconnected(
    job: Job,
    destination: Destination,
    attempt: number,
  ): void {
    if (job.signal.aborted && job.request.kind === 'model') {
      const hop = createHop(job, destination.target, attempt);
      this.options.attemptClient.cancel(hop, destination);
    }
  }

  private async send({
    attempt,
    destination,
    job,
    prefix,
  }: AttemptContext): Promise<Result<AttemptResponse, Refusal>> {
    const sent = await this.options.attemptClient.send({
      hop: {
        ...createHop(job, destination.target, attempt),
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

function createHop(job: Job, target: string, attempt: number): Hop {
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

/** The requests of which a job is one: those for its service or adapter. */
function routeOf({request}: Job): string {
  const service = `${request.customer}/${request.service}`;
  return request.kind === 'model'
    ? `${service}/${formatModel(request.model)}`
    : service;
}

/**
 * The prefixes of a job's prompt; none if its service does not use prefix
 * hints.
 */
function prefixesOf({body, request, settings}: Job): PromptPrefix[] {
  return request.kind === 'model' && settings.prefixAffinity > 0
    ? computePromptPrefixes(formatModel(request.model), body)
    : [];
}

function createNoTargetRefusal(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'no_target',
    'no target currently serves this request',
    RETRY_AFTER_SECONDS,
  );
}

function createCallerDisconnectedRefusal(): Refusal {
  return new Refusal('not-run', 499, 'caller_gone', 'the caller disconnected');
}
