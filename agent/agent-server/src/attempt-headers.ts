import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {REQUEST_ID_HEADER} from '@marigoldspur/target-client';

/** Headers that belong to one connection only (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS = [
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];
const OWN_PREFIX = 'x-marigoldspur-';

/** Headers of a message that may go on, repeated ones included. */
export function endToEndHeaders(message: IncomingMessage): OutgoingHttpHeaders {
  const named = (message.headers.connection ?? '').toLowerCase().split(',');
  const dropped = new Set([
    ...CONNECTION_HEADERS,
    ...named.map(name => name.trim()),
  ]);
  const kept = Object.entries(message.headersDistinct).filter(
    ([name]) => !dropped.has(name) && !name.startsWith(OWN_PREFIX),
  );
  return Object.fromEntries(kept);
}

/** Identity of an attempt at its target. */
export function attemptId(hop: Hop): string {
  return `${hop.request}.${hop.attempt}`;
}

/** Headers of an attempt as it goes to the target. */
export function targetHeaders(
  request: IncomingMessage,
  body: Buffer,
  hop: Hop,
): OutgoingHttpHeaders {
  return {
    ...endToEndHeaders(request),
    ...(hop.model !== undefined && {[REQUEST_ID_HEADER]: attemptId(hop)}),
    'content-length': body.length,
    [HOP_HEADERS.request]: hop.request,
    [HOP_HEADERS.attempt]: String(hop.attempt),
    [HOP_HEADERS.priority]: String(hop.priority),
  };
}
