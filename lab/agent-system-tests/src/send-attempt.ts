import http from 'node:http';
import {formatHop} from '@marigoldspur/messages';
import {parseModel} from '@marigoldspur/settings-schema';

/** Options of an attempt with the hop headers that an entry sends. */
export interface AttemptOptions {
  /** Base URL of the agent or engine. */
  readonly url: string;
  /** Adapter and version. */
  readonly model: string;
  /** Request ID. */
  readonly request: string;
  /** Number of tokens to generate. */
  readonly tokens: number;
  /** Whether the response is streamed; false by default. */
  readonly isStreamed?: boolean;
  /** Connection pool of the client. */
  readonly agent: http.Agent;
  /** Time that the attempt may take, in milliseconds; 30 seconds by default. */
  readonly budgetMs?: number;
  /** Called when the first data of the response arrives. */
  readonly onFirstByte?: () => void;
}

/** The response to an attempt. */
export interface AttemptResponse {
  readonly status: number;
  /** Outcome header of a refusal. */
  readonly outcome?: string;
  /** Reason header of a refusal. */
  readonly reason?: string;
  /** Whether the response is complete and ends with the end trailer. */
  readonly isComplete: boolean;
}

const DEFAULT_BUDGET_MS = 30_000;

/**
 * Sends an attempt to an agent or directly to an engine; resolves when the response ends,
 * complete or not, and rejects if the connection fails before the response.
 */
export function sendAttempt(options: AttemptOptions): Promise<AttemptResponse> {
  const {model, isStreamed = false, tokens} = options;
  const body = JSON.stringify({
    model,
    prompt: 'p',
    max_tokens: tokens,
    stream: isStreamed,
  });
  const hop = formatHop({
    request: options.request,
    attempt: 1,
    model: parseModel(model).unwrapOr(undefined as never),
    target: 'lm-desk-0',
    revision: 1,
    budgetMs: options.budgetMs ?? DEFAULT_BUDGET_MS,
    priority: 5,
    repeatable: true,
  });
  return new Promise((resolve, reject) => {
    const outgoing = http.request(new URL('/v1/completions', options.url), {
      method: 'POST',
      agent: options.agent,
      headers: {
        ...hop,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
    });
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      response.once('data', () => options.onFirstByte?.());
      response.resume();
      response.on('error', () => {});
      response.on('close', () => {
        const end = response.trailers['x-marigoldspur-end'];
        resolve({
          status: response.statusCode ?? 0,
          outcome: response.headers['x-marigoldspur-outcome']?.toString(),
          reason: response.headers['x-marigoldspur-reason']?.toString(),
          isComplete: response.complete && end !== undefined,
        });
      });
    });
    outgoing.end(body);
  });
}
