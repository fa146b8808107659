import http, {type IncomingMessage} from 'node:http';
import {MODEL} from './bench-system.js';

/** Options of a completion request. */
export interface CompletionOptions {
  /** Base URL of the server that is called. */
  readonly url: string;
  /** Number of tokens to generate. */
  readonly tokenCount: number;
  readonly isStreamed: boolean;
}

const STATUS_OK = 200;

/**
 * Requests a completion; resolves when the response headers arrive, and rejects unless
 * the status is 200.
 */
export function openCompletion(
  {url, tokenCount, isStreamed}: CompletionOptions,
  agent: http.Agent,
): Promise<IncomingMessage> {
  const body = JSON.stringify({
    model: MODEL,
    max_tokens: tokenCount,
    stream: isStreamed,
    messages: [{role: 'user', content: 'Draft the recap.'}],
  });
  return new Promise((resolve, reject) => {
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const endpoint = new URL('/v1/chat/completions', url);
    const outgoing = http.request(endpoint, {method: 'POST', headers, agent});
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      if (response.statusCode === STATUS_OK) {
        resolve(response);
        return;
      }
      response.resume();
      reject(
        new Error(
          `completion request failed with status ${response.statusCode}`,
        ),
      );
    });
    outgoing.end(body);
  });
}
