import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Answer, Call, HistoryLine} from '@marigoldspur/history';
import {parseAnswer} from './parse-answer.js';
import {buildExpectedText, type PlannedRequest} from './load-plan.js';

/** Options of a caller. */
export interface CallerOptions {
  /** Base URL of the balancer. */
  readonly url: string;
  /** First path segment of the plain service. */
  readonly service: string;
  /** Receives each line of the history. */
  readonly record: (line: HistoryLine) => void;
}

type CallResult = Omit<Answer, 'line' | 'call' | 'at' | 'tookMs'>;

const CALL_TIMEOUT_MS = 60_000;
const MAX_ATTEMPTS = 4;
const DEFAULT_RETRY_DELAY_SECONDS = 0.5;

/**
 * Sends requests and records their answers. A request with an idempotency key is
 * retried until it succeeds or has used all its attempts.
 */
export class Caller {
  private callCount = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Sends one planned request, with retries if it has an idempotency key. */
  async send(request: PlannedRequest): Promise<void> {
    const attempts = request.kind === 'keyed-call' ? MAX_ATTEMPTS : 1;
    for (let attempt = 1; attempt <= attempts; attempt += 1) {
      const answer = await this.call(request);
      if (answer.ended === 'whole' && (answer.status ?? 0) < 300) {
        return;
      }
      const delaySeconds =
        answer.retryAfterSeconds ?? DEFAULT_RETRY_DELAY_SECONDS;
      if (attempt < attempts) {
        await delay(delaySeconds * 1_000);
      }
    }
  }

  private async call(request: PlannedRequest): Promise<Answer> {
    this.callCount += 1;
    const call = toCallLine(request, this.callCount);
    this.options.record(call);
    const startedAt = performance.now();
    const result = await sendHttpRequest(this.buildHttpRequest(request, call));
    const answer: Answer = {
      line: 'answer',
      call: call.call,
      at: Date.now(),
      tookMs: Math.round(performance.now() - startedAt),
      ...result,
    };
    this.options.record(answer);
    return answer;
  }

  private buildHttpRequest(
    request: PlannedRequest,
    call: Call,
  ): {url: URL; body: string; headers: http.OutgoingHttpHeaders} {
    const {url, service} = this.options;
    if (request.kind.endsWith('call')) {
      return {
        url: new URL(`/${service}${request.model}`, url),
        body: request.operation,
        headers: call.key === undefined ? {} : {'idempotency-key': call.key},
      };
    }
    const body = JSON.stringify({
      model: request.model,
      prompt: request.operation,
      max_tokens: request.tokens,
      stream: request.kind === 'streamed',
    });
    return {url: new URL('/v1/completions', url), body, headers: {}};
  }
}

function toCallLine(request: PlannedRequest, call: number): Call {
  return {
    line: 'call',
    call,
    at: Date.now(),
    operation: request.operation,
    model: request.model,
    repeatable: !request.kind.endsWith('call'),
    key: request.kind === 'keyed-call' ? request.operation : undefined,
    expected: buildExpectedText(request),
  };
}

function sendHttpRequest(request: {
  url: URL;
  body: string;
  headers: http.OutgoingHttpHeaders;
}): Promise<CallResult> {
  return new Promise(resolve => {
    const noAnswer: CallResult = {ended: 'none', replayed: false, text: ''};
    const clientRequest = http.request(request.url, {
      method: 'POST',
      agent: false,
      headers: request.headers,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    clientRequest.on('error', () => resolve(noAnswer));
    clientRequest.on('response', response => {
      let body = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (body += chunk));
      response.on('error', () => {});
      response.on('close', () => resolve(toCallResult(response, body)));
    });
    clientRequest.end(request.body);
  });
}

function toCallResult(
  response: http.IncomingMessage,
  body: string,
): CallResult {
  const status = response.statusCode ?? 0;
  const contentType = response.headers['content-type'] ?? '';
  const retryAfter = Number(response.headers['retry-after']);
  return {
    ended: response.complete ? 'whole' : 'torn',
    status,
    request: String(response.headers['x-request-id'] ?? ''),
    replayed: response.headers['idempotent-replayed'] === 'true',
    ...(retryAfter > 0 && {retryAfterSeconds: retryAfter}),
    ...parseAnswer(body, contentType, status),
  };
}
