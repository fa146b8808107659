import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {endToEndHeaders} from '@marigoldspur/http-link';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {REQUEST_ID_HEADER} from '@marigoldspur/engine-client';

/** Headers that the agent does not forward. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['expect', 'host']);

/** Returns the headers of a message to forward, including repeated ones. */
export function forwardedHeaders(
  message: IncomingMessage,
): OutgoingHttpHeaders {
  return endToEndHeaders(message.headersDistinct, {
    connection: message.headers.connection,
    dropped: DROPPED_HEADERS,
  });
}

/** Returns the ID of an attempt at its target. */
export function attemptId(hop: Hop): string {
  return `${hop.request}.${hop.attempt}`;
}

/** Returns the headers of an attempt for the request to the target. */
export function targetHeaders(
  request: IncomingMessage,
  body: Buffer,
  hop: Hop,
): OutgoingHttpHeaders {
  return {
    ...forwardedHeaders(request),
    ...(hop.model !== undefined && {[REQUEST_ID_HEADER]: attemptId(hop)}),
    'content-length': body.length,
    [HOP_HEADERS.request]: hop.request,
    [HOP_HEADERS.attempt]: String(hop.attempt),
    [HOP_HEADERS.priority]: String(hop.priority),
  };
}
