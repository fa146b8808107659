import http, {type IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {openRequest, readBody} from '@marigoldspur/http-link';
import {formatHop, HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import type {Destination} from './target-directory.js';

/** One try of a request at one target. */
export interface Attempt {
  readonly hop: Hop;
  readonly destination: Destination;
  readonly method: string;
  /** Path on the target. */
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  readonly signal: AbortSignal;
  /** Longest time to the first byte of the answer, in milliseconds. */
  readonly firstByteTimeoutMs: number;
}

/** The beginning of a target's answer; its body is still to be read. */
export interface AttemptAnswer {
  readonly hop: Hop;
  readonly message: IncomingMessage;
}

const MAX_REFUSAL_BYTES = 65_536;
const RETRY_SOON_SECONDS = 1;
const DROPPED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const OWN_HEADER_PREFIX = 'x-marigoldspur-';

/** Sends attempts to agents. */
export class AttemptClient {
  /** `agent` makes the connections. */
  constructor(private readonly agent: http.Agent) {}

  /** Sends an attempt; resolves with the head of the answer or with what is known of the failure. */
  send(attempt: Attempt): Promise<Result<AttemptAnswer, Refusal>> {
    return new Promise(resolve => {
      const late = new AbortController();
      const timer = setTimeout(
        () => late.abort(),
        Math.min(attempt.firstByteTimeoutMs, attempt.hop.budgetMs),
      );
      const call = openRequest({
        url: new URL(attempt.url, attempt.destination.url),
        method: attempt.method,
        headers: attemptHeaders(attempt),
        agent: this.agent,
        signal: AbortSignal.any([attempt.signal, late.signal]),
      });
      call.on('error', error => {
        clearTimeout(timer);
        const connected = call.socket !== null && !call.socket.connecting;
        resolve(Result.err(brokenLink(connected, late.signal.aborted, error)));
      });
      call.on('response', message => {
        clearTimeout(timer);
        void readHead(attempt.hop, message).then(resolve);
      });
      call.end(attempt.body);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

function attemptHeaders(attempt: Attempt): http.OutgoingHttpHeaders {
  const kept = Object.entries(attempt.headers).filter(
    ([name]) =>
      !DROPPED_HEADERS.has(name) && !name.startsWith(OWN_HEADER_PREFIX),
  );
  return {
    ...Object.fromEntries(kept),
    ...formatHop(attempt.hop),
    'content-length': attempt.body.length,
  };
}

async function readHead(
  hop: Hop,
  message: IncomingMessage,
): Promise<Result<AttemptAnswer, Refusal>> {
  const outcome = message.headers[HOP_HEADERS.outcome];
  if (outcome !== undefined) {
    return Result.err(await readRefusal(message, String(outcome)));
  }
  const crossed =
    message.headers[HOP_HEADERS.request] !== hop.request ||
    message.headers[HOP_HEADERS.attempt] !== String(hop.attempt);
  if (crossed) {
    message.destroy();
    return Result.err(
      new Refusal(
        'unknown',
        502,
        'crossed_answer',
        'the answer belongs to another request',
      ),
    );
  }
  return Result.ok({hop, message});
}

async function readRefusal(
  message: IncomingMessage,
  outcome: string,
): Promise<Refusal> {
  const body = await readBody(message, MAX_REFUSAL_BYTES);
  const text = body.isOk ? body.value.toString('utf8') : '';
  return new Refusal(
    refusalOutcome(outcome),
    message.statusCode ?? 502,
    String(message.headers[HOP_HEADERS.reason] ?? 'refused'),
    refusalMessage(text),
    Number(message.headers['retry-after']) || undefined,
  );
}

function refusalOutcome(text: string): RefusalOutcome {
  return text === 'not-run' || text === 'failed' ? text : 'unknown';
}

function refusalMessage(text: string): string {
  try {
    return String((JSON.parse(text) as {message: unknown}).message);
  } catch {
    return 'the agent refused the request';
  }
}

function brokenLink(connected: boolean, late: boolean, error: Error): Refusal {
  if (!connected) {
    return new Refusal(
      'not-run',
      503,
      'agent_unreachable',
      error.message,
      RETRY_SOON_SECONDS,
    );
  }
  return new Refusal(
    'unknown',
    late ? 504 : 502,
    late ? 'no_answer_in_time' : 'link_broke_off',
    late ? 'the target did not answer in time' : error.message,
    RETRY_SOON_SECONDS,
  );
}
