import http from 'node:http';
import https from 'node:https';

/** One outgoing HTTP request. */
export interface OutgoingRequest {
  readonly url: URL;
  readonly method: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly agent: http.Agent;
  readonly signal?: AbortSignal;
}

/** Opens a request; the caller writes its body and ends it. */
export function openRequest(call: OutgoingRequest): http.ClientRequest {
  const {request} = call.url.protocol === 'https:' ? https : http;
  return request(call.url, {
    method: call.method,
    headers: call.headers,
    agent: call.agent,
    signal: call.signal,
  });
}
