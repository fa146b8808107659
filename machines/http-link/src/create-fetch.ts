import http from 'node:http';
import {Readable} from 'node:stream';
import {openRequest} from './open-request.js';

/** Statuses whose responses carry no body (Fetch standard). */
const NULL_BODY_STATUSES = new Set([101, 204, 205, 304]);

/** Returns a `fetch` for tRPC clients that uses the connections of an HTTP agent. */
export function createFetch(agent: http.Agent): typeof fetch {
  return async (input, init) => {
    const request = input instanceof Request ? input : undefined;
    const outgoing = openRequest({
      url: new URL(request?.url ?? String(input)),
      method: init?.method ?? request?.method ?? 'GET',
      headers: Object.fromEntries(new Headers(init?.headers).entries()),
      agent,
      signal: init?.signal ?? undefined,
    });
    const response = await sendBody(outgoing, init?.body);
    const status = response.statusCode ?? 0;
    const headers = new Headers();
    for (const [name, value] of Object.entries(response.headers)) {
      headers.set(name, String(value));
    }
    const body = NULL_BODY_STATUSES.has(status)
      ? null
      : (Readable.toWeb(response) as ReadableStream<Uint8Array>);
    return new Response(body, {status, headers});
  };
}

function sendBody(
  request: http.ClientRequest,
  body: RequestInit['body'],
): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.on('response', resolve);
    request.on('error', reject);
    request.end(typeof body === 'string' ? body : undefined);
  });
}
