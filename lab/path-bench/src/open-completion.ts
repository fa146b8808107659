import http, {type IncomingMessage} from 'node:http';
import {MODEL} from './bench-system.js';

/** A completion that is asked for. */
export interface CompletionCall {
  /** Base URL of the server that is called. */
  readonly url: string;
  readonly tokens: number;
  readonly stream: boolean;
}

const STATUS_OK = 200;

/** Asks for a completion; resolves to its answer once the head has come, and rejects any but 200. */
export function openCompletion(
  {url, tokens, stream}: CompletionCall,
  agent: http.Agent,
): Promise<IncomingMessage> {
  const body = JSON.stringify({
    model: MODEL,
    max_tokens: tokens,
    stream,
    messages: [{role: 'user', content: 'Draft the recap.'}],
  });
  return new Promise((resolve, reject) => {
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const target = new URL('/v1/chat/completions', url);
    const call = http.request(target, {method: 'POST', headers, agent});
    call.on('error', reject);
    call.on('response', answer => {
      if (answer.statusCode === STATUS_OK) {
        resolve(answer);
        return;
      }
      answer.resume();
      reject(new Error(`answered with ${answer.statusCode}`));
    });
    call.end(body);
  });
}
