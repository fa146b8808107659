import http from 'node:http';
import {formatHop} from '@marigoldspur/messages';
import {parseModel} from '@marigoldspur/settings-schema';

/** An attempt, as an entry sends it. */
export interface AttemptToSend {
  readonly url: string;
  readonly model: string;
  readonly request: string;
  readonly tokens: number;
  readonly stream?: boolean;
  readonly agent: http.Agent;
  readonly budgetMs?: number;
  /** Called with the first piece of the answer. */
  readonly begun?: () => void;
}

/** The answer to an attempt. */
export interface AttemptAnswer {
  readonly status: number;
  readonly outcome?: string;
  readonly reason?: string;
  readonly whole: boolean;
}

const DEFAULT_BUDGET_MS = 30_000;

/** Sends an attempt to an agent, or a plain request to an engine. */
export function sendAttempt(sending: AttemptToSend): Promise<AttemptAnswer> {
  const {model, stream = false, tokens} = sending;
  const body = JSON.stringify({model, prompt: 'p', max_tokens: tokens, stream});
  const hop = formatHop({
    request: sending.request,
    attempt: 1,
    model: parseModel(model).unwrapOr(undefined as never),
    target: 'lm-desk-0',
    revision: 1,
    budgetMs: sending.budgetMs ?? DEFAULT_BUDGET_MS,
    priority: 5,
    repeatable: true,
  });
  return new Promise((resolve, reject) => {
    const call = http.request(new URL('/v1/completions', sending.url), {
      method: 'POST',
      agent: sending.agent,
      headers: {
        ...hop,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
    });
    call.on('error', reject);
    call.on('response', response => {
      response.once('data', () => sending.begun?.());
      response.resume();
      response.on('error', () => {});
      response.on('close', () => {
        const end = response.trailers['x-marigoldspur-end'];
        resolve({
          status: response.statusCode ?? 0,
          outcome: response.headers['x-marigoldspur-outcome']?.toString(),
          reason: response.headers['x-marigoldspur-reason']?.toString(),
          whole: response.complete && end !== undefined,
        });
      });
    });
    call.end(body);
  });
}
