import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import type {Admission} from '@marigoldspur/admission';
import {
  modelList,
  readCallerRequest,
  writeRefusal,
  type CallerRequest,
} from '@marigoldspur/caller-api';
import type {CallerKeyTable} from '@marigoldspur/caller-keys';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {
  collectAnswer,
  streamAnswer,
  type AttemptAnswer,
  type AttemptClient,
  type Destination,
  type TargetDirectory,
} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {createPlacement} from '@marigoldspur/placement';
import {
  DEFAULT_SETTINGS,
  formatModel,
  type Settings,
} from '@marigoldspur/settings-schema';
import {settingsOf} from '@marigoldspur/settings-tree';
import type {ClaimDesk} from './claim-desk.js';
import type {EntryMetrics} from './entry-metrics.js';

/** What a request desk works with. */
export interface RequestDeskOptions {
  readonly settings: SettingsFollower;
  readonly admission: Admission;
  readonly directory: TargetDirectory;
  readonly attempts: AttemptClient;
  readonly claims: ClaimDesk;
  readonly keys: CallerKeyTable;
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
  readonly maxBodyBytes: number;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** One request that is being served. */
interface Job {
  readonly id: string;
  readonly startedAt: number;
  readonly request: CallerRequest;
  readonly settings: Settings;
  readonly revision: number;
  readonly method: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  readonly key: string | undefined;
  readonly signal: AbortSignal;
}

const MAX_STORED_ANSWER_BYTES = 65_536;
const MAX_COLLECTED_BYTES = 67_108_864;
const RETRY_SOON_SECONDS = 1;
const ANSWER_HEADERS_DROPPED = [
  'connection',
  'keep-alive',
  'trailer',
  'transfer-encoding',
  'content-length',
];
const OWN_HEADER_PREFIX = 'x-marigoldspur-';

/** Serves callers' requests, from reading to the whole answer or a refusal. */
export class RequestDesk {
  private count = 0;

  constructor(private readonly options: RequestDeskOptions) {}

  /** Requests that run or wait now. */
  get running(): number {
    return this.count;
  }

  /** Serves one request. */
  async handle(request: IncomingMessage, response: ServerResponse) {
    const id = randomUUID();
    this.options.metrics.setRunning((this.count += 1));
    try {
      await this.serve(id, request, response);
    } finally {
      this.options.metrics.setRunning((this.count -= 1));
    }
  }

  private async serve(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAt = performance.now();
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    const {revision, tree} = this.options.settings.settings;
    const customer = this.options.keys.customerOf(request.headers);
    if (customer.isErr) {
      this.refuse(response, id, customer.error);
      return;
    }
    if (request.method === 'GET' && request.url === '/v1/models') {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(modelList(tree, customer.value)));
      return;
    }
    const body = await readBody(request, this.options.maxBodyBytes);
    if (body.isErr) {
      const tooLarge = body.error.code === 'TOO_LARGE';
      const status = tooLarge ? 413 : 400;
      const reason = tooLarge ? 'body_too_large' : 'body_broke_off';
      this.refuse(
        response,
        id,
        new Refusal('not-run', status, reason, body.error.message),
      );
      return;
    }
    const head = {
      method: request.method ?? 'GET',
      url: request.url ?? '/',
      customer: customer.value,
    };
    const read = readCallerRequest(head, body.value, tree);
    if (read.isErr) {
      this.refuse(response, id, read.error);
      return;
    }
    const settings = settingsOf(tree, pathOf(read.value)) ?? DEFAULT_SETTINGS;
    const job: Job = {
      id,
      startedAt,
      request: read.value,
      settings,
      revision,
      method: head.method,
      headers: request.headers,
      body: body.value,
      key: headerText(request.headers['idempotency-key']),
      signal: gone.signal,
    };
    this.options.events.record(
      'request-received',
      {customer: job.request.customer, service: job.request.service},
      id,
    );
    await this.admitAndRun(job, response);
  }

  private async admitAndRun(job: Job, response: ServerResponse) {
    const admitted = await this.options.admission.admit(
      job.request.customer,
      job.settings,
      job.signal,
    );
    if (admitted.isErr) {
      this.refuse(response, job.id, admitted.error, job);
      return;
    }
    try {
      await this.claimAndRun(job, response);
    } finally {
      admitted.value.release();
    }
  }

  private async claimAndRun(job: Job, response: ServerResponse) {
    if (job.key === undefined) {
      const ended = await this.run(job, response);
      if (ended.isErr) {
        this.refuse(response, job.id, ended.error, job);
      }
      return;
    }
    const {customer} = job.request;
    const claimed = await this.options.claims.take({
      customer,
      key: job.key,
      method: job.method,
      url: job.request.url,
      body: job.body,
      request: job.id,
      retentionMs: job.settings.claimRetentionMs,
    });
    if (claimed.isErr) {
      this.refuse(response, job.id, claimed.error, job);
      return;
    }
    if (claimed.value.result === 'answered') {
      const {status, contentType, body} = claimed.value.answer;
      response.writeHead(status, {
        'content-type': contentType,
        'x-request-id': job.id,
      });
      response.end(Buffer.from(body, 'base64'));
      return;
    }
    const ended = await this.run(job, response);
    const notRun = ended.isErr && ended.error.outcome === 'not-run';
    const unknown = ended.isErr && ended.error.outcome === 'unknown';
    this.options.claims.complete({
      customer,
      key: job.key,
      request: job.id,
      result: notRun ? 'not-run' : unknown ? 'unknown' : 'completed',
      answer: ended.isOk ? ended.value : undefined,
    });
    if (ended.isErr) {
      this.refuse(response, job.id, ended.error, job);
    }
  }

  /** Runs a request at one target after another; resolves to the answer where it is to be kept. */
  private async run(
    job: Job,
    response: ServerResponse,
  ): Promise<Result<StoredAnswerOrNone, Refusal>> {
    const tried = new Set<string>();
    let last = new Refusal(
      'not-run',
      503,
      'no_target',
      'no target serves this now',
      RETRY_SOON_SECONDS,
    );
    for (let attempt = 1; attempt <= job.settings.maxAttempts; attempt += 1) {
      const destination = this.chooseDestination(job, tried);
      if (destination === undefined || job.signal.aborted) {
        return Result.err(last);
      }
      tried.add(destination.target);
      const ended = await this.attempt(job, destination, attempt, response);
      if (ended.isOk || !mayRepeat(job, ended.error, response)) {
        return ended;
      }
      last = ended.error;
    }
    return Result.err(last);
  }

  private chooseDestination(
    job: Job,
    tried: ReadonlySet<string>,
  ): Destination | undefined {
    const {request, settings} = job;
    return this.options.directory.choose(
      {
        customer: request.customer,
        service: request.service,
        model:
          request.kind === 'model' ? formatModel(request.model) : undefined,
        tried,
      },
      createPlacement(settings.placement, this.options.random),
      performance.now(),
    );
  }

  private async attempt(
    job: Job,
    destination: Destination,
    attempt: number,
    response: ServerResponse,
  ): Promise<Result<StoredAnswerOrNone, Refusal>> {
    const {request, settings} = job;
    const {directory, attempts, events} = this.options;
    const end = directory.begin(destination.target);
    const target = destination.target;
    events.record('request-dispatched', {attempt, target}, job.id);
    try {
      const sent = await attempts.send({
        hop: {
          request: job.id,
          attempt,
          model: request.kind === 'model' ? request.model : undefined,
          target,
          revision: job.revision,
          budgetMs:
            settings.requestTimeoutMs - (performance.now() - job.startedAt),
          priority: settings.priority,
          repeatable: isRepeatable(job),
        },
        destination,
        method: job.method,
        url: request.url,
        headers: job.headers,
        body: job.body,
        signal: job.signal,
        firstByteTimeoutMs: settings.firstByteTimeoutMs,
      });
      return sent.isErr
        ? Result.err(sent.error)
        : await this.relay(job, sent.value, response);
    } finally {
      end();
    }
  }

  private async relay(
    job: Job,
    answer: AttemptAnswer,
    response: ServerResponse,
  ): Promise<Result<StoredAnswerOrNone, Refusal>> {
    const {events, metrics} = this.options;
    const {service} = job.request;
    const status = answer.message.statusCode ?? 502;
    const contentType = answer.message.headers['content-type'] ?? '';
    metrics.answered(service, (performance.now() - job.startedAt) / 1_000);
    if (contentType.startsWith('text/event-stream')) {
      response.writeHead(status, answerHeaders(job, answer));
      const end = await streamAnswer(answer, response);
      const name = STREAM_EVENTS[end];
      events.record(name, {status}, job.id);
      metrics.ended(service, end);
      return Result.ok(undefined);
    }
    const body = await collectAnswer(answer, MAX_COLLECTED_BYTES);
    if (body.isErr) {
      return Result.err(
        new Refusal(
          'unknown',
          502,
          'torn_answer',
          body.error.message,
          RETRY_SOON_SECONDS,
        ),
      );
    }
    response.writeHead(status, {
      ...answerHeaders(job, answer),
      'content-length': body.value.length,
    });
    response.end(body.value);
    events.record('request-answered', {status}, job.id);
    metrics.ended(service, 'whole');
    return Result.ok(
      body.value.length <= MAX_STORED_ANSWER_BYTES
        ? {status, contentType, body: body.value.toString('base64')}
        : undefined,
    );
  }

  private refuse(
    response: ServerResponse,
    id: string,
    refusal: Refusal,
    job?: Job,
  ): void {
    const {reason, outcome, status} = refusal;
    this.options.events.record(
      'request-refused',
      {reason, outcome, status},
      id,
    );
    this.options.metrics.ended(job?.request.service ?? '', outcome);
    writeRefusal(response, refusal, id);
  }
}

type StoredAnswerOrNone =
  | {
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | undefined;

const STREAM_EVENTS = {
  whole: 'request-answered',
  torn: 'request-torn',
  cancelled: 'request-cancelled',
} as const;

function pathOf(request: CallerRequest): string {
  const service = `/${request.customer}/${request.service}`;
  return request.kind === 'model'
    ? `${service}/${request.model.adapter}`
    : service;
}

function isRepeatable(job: Job): boolean {
  return job.key === undefined && job.settings.repeatable;
}

/** A request may run again when it provably did not run, or may be repeated and nothing went out. */
function mayRepeat(job: Job, refusal: Refusal, response: ServerResponse) {
  if (response.headersSent || refusal.status < 500) {
    return false;
  }
  return refusal.outcome === 'not-run' || isRepeatable(job);
}

function answerHeaders(job: Job, answer: AttemptAnswer) {
  const kept = Object.entries(answer.message.headers).filter(
    ([name]) =>
      !ANSWER_HEADERS_DROPPED.includes(name) &&
      !name.startsWith(OWN_HEADER_PREFIX),
  );
  return {...Object.fromEntries(kept), 'x-request-id': job.id};
}

function headerText(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined;
}
