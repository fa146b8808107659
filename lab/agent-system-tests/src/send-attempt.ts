import http from 'node:http';
import {formatHop} from '@marigoldspur/messages';
import {parseModel} from '@marigoldspur/settings-schema';

/** Options of an attempt that is sent as an entry sends it. */
export interface AttemptOptions {
  readonly url: string;
  readonly model: string;
  readonly request: string;
  readonly tokens: number;
  readonly stream?: boolean;
  readonly agent: http.Agent;
  readonly budgetMs?: number;
  /** Called when the first data of the response arrives. */
  readonly onFirstByte?: () => void;
}

/** The response to an attempt. */
export interface AttemptResponse {
  readonly status: number;
  readonly outcome?: string;
  readonly reason?: string;
  /** Whether the response is complete and ends with the end trailer. */
  readonly isComplete: boolean;
}

const DEFAULT_BUDGET_MS = 30_000;

/** Sends an attempt to an agent or directly to an engine. */
export function sendAttempt(options: AttemptOptions): Promise<AttemptResponse> {
  const {model, stream = false, tokens} = options;
  const body = JSON.stringify({model, prompt: 'p', max_tokens: tokens, stream});
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
