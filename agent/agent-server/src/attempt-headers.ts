import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {endToEndHeaders} from '@marigoldspur/http-link';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {REQUEST_ID_HEADER} from '@marigoldspur/target-client';

/** Headers that end at the agent. */
const AGENT_HEADERS: ReadonlySet<string> = new Set(['expect', 'host']);

/** Headers of a message that may go on, repeated ones included. */
export function forwardedHeaders(
  message: IncomingMessage,
): OutgoingHttpHeaders {
  return endToEndHeaders(message.headersDistinct, {
    connection: message.headers.connection,
    dropped: AGENT_HEADERS,
  });
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
    ...forwardedHeaders(request),
    ...(hop.model !== undefined && {[REQUEST_ID_HEADER]: attemptId(hop)}),
    'content-length': body.length,
    [HOP_HEADERS.request]: hop.request,
    [HOP_HEADERS.attempt]: String(hop.attempt),
    [HOP_HEADERS.priority]: String(hop.priority),
  };
}
