import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {SettingsFollower} from '@marigoldspur/control-client';
import type {EventLog} from '@marigoldspur/event-log';
import {formatFindings, Refusal} from '@marigoldspur/faults';
import {openRequest, readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS, parseHop, type Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {adapterOf, serviceOf} from '@marigoldspur/settings-tree';
import type {AdapterHost} from './adapter-host.js';
import {refuseAttempt, relayAnswer} from './attempt-answer.js';
import type {TargetWatch} from './target-watch.js';

/** What an attempt desk works with. */
export interface AttemptDeskOptions {
  readonly target: string;
  readonly targetUrl: string;
  readonly customer: string;
  readonly service: string;
  readonly settings: SettingsFollower;
  readonly events: EventLog;
  readonly maxBodyBytes: number;
  /** Absent for a plain service. */
  readonly host?: AdapterHost;
  readonly watch?: TargetWatch;
}

const RETRY_SOON_SECONDS = 1;

/** Takes attempts from entries, checks them and forwards them to the target. */
export class AttemptDesk {
  private readonly agent = new http.Agent({keepAlive: true});
  private running = 0;
  private closed = false;

  constructor(private readonly options: AttemptDeskOptions) {}

  /** Attempts that run or wait here. */
  get load(): number {
    return this.running;
  }

  /** Refuses attempts from now on. */
  close(): void {
    this.closed = true;
  }

  /** Takes one attempt. */
  async handle(request: IncomingMessage, response: ServerResponse) {
    this.running += 1;
    try {
      await this.attempt(request, response);
    } finally {
      this.running -= 1;
    }
  }

  private async attempt(request: IncomingMessage, response: ServerResponse) {
    const startedAt = performance.now();
    const hop = parseHop(request.headers);
    if (hop.isErr) {
      const message = formatFindings(hop.error);
      refuseAttempt(response, notRun(400, 'bad_hop', message));
      return;
    }
    const {request: id, attempt} = hop.value;
    this.options.events.record('attempt-received', {attempt}, id);
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    const body = await readBody(request, this.options.maxBodyBytes);
    if (body.isErr) {
      this.refuse(
        hop.value,
        response,
        notRun(400, 'bad_body', body.error.message),
      );
      return;
    }
    const deadlineMs = startedAt + hop.value.budgetMs;
    const pin = await this.admit(
      hop.value,
      body.value,
      deadlineMs,
      gone.signal,
    );
    if (pin.isErr) {
      this.refuse(hop.value, response, pin.error);
      return;
    }
    try {
      await this.forward(
        hop.value,
        request,
        body.value,
        response,
        gone.signal,
        deadlineMs,
      );
    } finally {
      pin.value?.release(performance.now());
    }
  }

  /** Checks the attempt and pins its adapter; undefined for a plain service. */
  private async admit(
    hop: Hop,
    body: Buffer,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<Pin | undefined, Refusal>> {
    const {host, watch, target, customer, service} = this.options;
    if (this.closed) {
      return Result.err(notRun(503, 'target_leaving', 'the target is leaving'));
    }
    if (hop.target !== target) {
      return Result.err(
        notRun(421, 'wrong_target', `this is target ${target}`),
      );
    }
    if (host === undefined || hop.model === undefined) {
      return (host === undefined) === (hop.model === undefined)
        ? Result.ok(undefined)
        : Result.err(
            notRun(400, 'wrong_kind', 'the target is of another kind'),
          );
    }
    if (watch?.state.healthy !== true) {
      return Result.err(
        notRun(503, 'target_down', 'the engine does not answer'),
      );
    }
    const model = formatModel(hop.model);
    if (bodyModel(body) !== model) {
      return Result.err(
        notRun(400, 'model_mismatch', 'body and header differ'),
      );
    }
    const {tree} = this.options.settings.settings;
    const place = adapterOf(tree, customer, hop.model);
    const version = place?.adapter.versions[hop.model.version];
    const settings = serviceOf(tree, customer, service);
    if (
      place?.service !== service ||
      version === undefined ||
      settings?.kind !== 'model'
    ) {
      return Result.err(
        notRun(503, 'unknown_adapter', `${model} is not known here yet`),
      );
    }
    const pin = await host.acquire({
      model,
      digest: version.digest,
      store: settings.store,
      priority: hop.priority,
      deadlineMs,
      signal,
    });
    return pin.mapErr(fault => notRun(503, 'load_failed', fault.message));
  }

  private forward(
    hop: Hop,
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
    signal: AbortSignal,
    deadlineMs: number,
  ): Promise<void> {
    const {events, targetUrl} = this.options;
    events.record('attempt-forwarded', {attempt: hop.attempt}, hop.request);
    const budgetMs = Math.max(1, Math.ceil(deadlineMs - performance.now()));
    return new Promise(resolve => {
      const call = openRequest({
        url: new URL(request.url ?? '/', targetUrl),
        method: request.method ?? 'POST',
        headers: forwardedHeaders(request, body, hop),
        agent: this.agent,
        signal: AbortSignal.any([signal, AbortSignal.timeout(budgetMs)]),
      });
      call.on('error', error => {
        const reached = call.socket !== null && !call.socket.connecting;
        this.refuse(hop, response, brokenTarget(reached, error.message));
        resolve();
      });
      call.on('response', answer => {
        void relayAnswer(hop, answer, response).then(whole => {
          const name = whole ? 'attempt-ended' : 'attempt-failed';
          events.record(name, {attempt: hop.attempt}, hop.request);
          resolve();
        });
      });
      call.end(body);
    });
  }

  private refuse(hop: Hop, response: ServerResponse, refusal: Refusal): void {
    const {attempt, request} = hop;
    const {reason, outcome} = refusal;
    this.options.events.record(
      outcome === 'not-run' ? 'attempt-refused' : 'attempt-failed',
      {attempt, reason, outcome},
      request,
    );
    refuseAttempt(response, refusal);
  }
}

function notRun(status: number, reason: string, message: string): Refusal {
  return new Refusal('not-run', status, reason, message, RETRY_SOON_SECONDS);
}

function brokenTarget(reached: boolean, message: string): Refusal {
  return reached
    ? new Refusal(
        'unknown',
        502,
        'target_broke_off',
        message,
        RETRY_SOON_SECONDS,
      )
    : notRun(503, 'target_unreachable', message);
}

function bodyModel(body: Buffer): string | undefined {
  try {
    const parsed = JSON.parse(body.toString('utf8')) as {model?: unknown};
    return typeof parsed.model === 'string' ? parsed.model : undefined;
  } catch {
    return undefined;
  }
}

const HOP_HEADER_NAMES = new Set<string>(Object.values(HOP_HEADERS));
const DROPPED_HEADERS = new Set([
  'connection',
  'host',
  'keep-alive',
  'expect',
  'transfer-encoding',
  'content-length',
]);

function forwardedHeaders(
  request: IncomingMessage,
  body: Buffer,
  hop: Hop,
): http.OutgoingHttpHeaders {
  const kept = Object.entries(request.headers).filter(
    ([name]) => !HOP_HEADER_NAMES.has(name) && !DROPPED_HEADERS.has(name),
  );
  return {
    ...Object.fromEntries(kept),
    'content-length': body.length,
    [HOP_HEADERS.request]: hop.request,
    [HOP_HEADERS.attempt]: String(hop.attempt),
    [HOP_HEADERS.priority]: String(hop.priority),
  };
}
