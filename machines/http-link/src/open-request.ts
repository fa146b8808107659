import http from 'node:http';
import https from 'node:https';
import {holdConnection} from './pause-message.js';
import {limitResponseHead} from './response-limits.js';

/** One outgoing HTTP request. */
export interface OutgoingRequest {
  readonly url: URL;
  readonly method: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly agent: http.Agent;
  readonly signal?: AbortSignal;
}

/**
 * Opens a request; the caller writes its body and ends it. The request fails if the head of the
 * response exceeds 64 KiB.
 */
export function openRequest(options: OutgoingRequest): http.ClientRequest {
  const {request} = options.url.protocol === 'https:' ? https : http;
  const opened = request(options.url, {
    method: options.method,
    headers: options.headers,
    agent: options.agent,
    signal: options.signal,
  });
  opened.on('response', holdConnection);
  limitResponseHead(opened, error => opened.destroy(error));
  return opened;
}
