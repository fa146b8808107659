import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {Answer, Call, HistoryLine} from '@marigoldspur/history';
import {readAnswerText} from './answer-text.js';
import {expectedText, type PlannedRequest} from './load-plan.js';

/** What a caller works with. */
export interface CallerOptions {
  /** Base URL of the balancer. */
  readonly url: string;
  /** First path segment of the plain service. */
  readonly service: string;
  /** Takes each line of the history. */
  readonly record: (line: HistoryLine) => void;
}

type Ended = Omit<Answer, 'line' | 'call' | 'at' | 'tookMs'>;

const CALL_TIMEOUT_MS = 60_000;
const MAX_SENDS = 4;
const FALLBACK_PAUSE_SECONDS = 0.5;

/** Sends requests and records what it gets; one with a key is sent again until it has its answer. */
export class Caller {
  private calls = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Sends one planned request. */
  async send(request: PlannedRequest): Promise<void> {
    const sends = request.kind === 'keyed-call' ? MAX_SENDS : 1;
    for (let send = 1; send <= sends; send += 1) {
      const answer = await this.call(request);
      if (answer.ended === 'whole' && (answer.status ?? 0) < 300) {
        return;
      }
      const seconds = answer.retryAfterSeconds ?? FALLBACK_PAUSE_SECONDS;
      if (send < sends) {
        await pause(seconds * 1_000);
      }
    }
  }

  private async call(request: PlannedRequest): Promise<Answer> {
    this.calls += 1;
    const call = callLine(request, this.calls);
    this.options.record(call);
    const startedAt = performance.now();
    const ended = await exchange(this.httpRequest(request, call));
    const answer: Answer = {
      line: 'answer',
      call: call.call,
      at: Date.now(),
      tookMs: Math.round(performance.now() - startedAt),
      ...ended,
    };
    this.options.record(answer);
    return answer;
  }

  private httpRequest(
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

function callLine(request: PlannedRequest, call: number): Call {
  return {
    line: 'call',
    call,
    at: Date.now(),
    operation: request.operation,
    model: request.model,
    repeatable: !request.kind.endsWith('call'),
    key: request.kind === 'keyed-call' ? request.operation : undefined,
    expected: expectedText(request),
  };
}

function exchange(request: {
  url: URL;
  body: string;
  headers: http.OutgoingHttpHeaders;
}): Promise<Ended> {
  return new Promise(resolve => {
    const none: Ended = {ended: 'none', replayed: false, text: ''};
    const call = http.request(request.url, {
      method: 'POST',
      agent: false,
      headers: request.headers,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    call.on('error', () => resolve(none));
    call.on('response', message => {
      let body = '';
      message.setEncoding('utf8');
      message.on('data', (chunk: string) => (body += chunk));
      message.on('error', () => {});
      message.on('close', () => resolve(endedAnswer(message, body)));
    });
    call.end(request.body);
  });
}

function endedAnswer(message: http.IncomingMessage, body: string): Ended {
  const status = message.statusCode ?? 0;
  const contentType = message.headers['content-type'] ?? '';
  const retryAfter = Number(message.headers['retry-after']);
  return {
    ended: message.complete ? 'whole' : 'torn',
    status,
    request: String(message.headers['x-request-id'] ?? ''),
    replayed: message.headers['idempotent-replayed'] === 'true',
    ...(retryAfter > 0 && {retryAfterSeconds: retryAfter}),
    ...readAnswerText(body, contentType, status),
  };
}
