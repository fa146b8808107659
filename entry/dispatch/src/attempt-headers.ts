import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {endToEndHeaders} from '@marigoldspur/http-link';
import {
  formatHop,
  HOP_HEADERS,
  type ClockTime,
  type Hop,
} from '@marigoldspur/messages';
import type {Attempt} from './attempt.js';

/** Headers that are not forwarded to agents. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'expect',
  'host',
  'proxy-authorization',
]);

/**
 * Builds the headers of an attempt: the caller's end-to-end headers and the hop
 * headers with the time of writing.
 */
export function createAttemptHeaders(
  attempt: Attempt,
  written: ClockTime,
): OutgoingHttpHeaders {
  const {headers} = attempt;
  return {
    ...endToEndHeaders(headers, {
      connection: headers.connection,
      dropped: DROPPED_HEADERS,
    }),
    ...formatHop({...attempt.hop, written}),
    ...(attempt.resumeAfter !== undefined && {
      [HOP_HEADERS.resumeAfter]: String(attempt.resumeAfter),
    }),
    ...createBodyHeaders(attempt),
  };
}

/**
 * An empty body is sent chunked, so that its end can be held back until
 * `100 Continue`.
 */
function createBodyHeaders(attempt: Attempt): OutgoingHttpHeaders {
  const {length} = attempt.body;
  if (!waitsForContinue(attempt)) {
    return {'content-length': length};
  }
  return length > 0
    ? {'content-length': length, expect: '100-continue'}
    : {'transfer-encoding': 'chunked', expect: '100-continue'};
}

/**
 * Whether the body, or the end of an empty one, waits for the agent's
 * `100 Continue`. That is the case if the request must not be repeated, except
 * for a resume, which runs nothing.
 */
export function waitsForContinue(attempt: Attempt): boolean {
  return !attempt.hop.repeatable && attempt.resumeAfter === undefined;
}

/** Builds the headers that tell an agent that an attempt is cancelled. */
export function createCancelHeaders(hop: Hop): OutgoingHttpHeaders {
  return {
    ...formatHop(hop),
    [HOP_HEADERS.cancel]: 'true',
    'content-length': 0,
  };
}

/**
 * How long a broken response can be resumed at its target, in milliseconds; 0
 * if not at all.
 */
export function resumeWindowMs(message: IncomingMessage): number {
  const text = String(message.headers[HOP_HEADERS.resumable] ?? '');
  return /^\d{1,9}$/.test(text) ? Number(text) : 0;
}

/** The headers of a target's response that are forwarded to the caller. */
export function responseHeaders(message: IncomingMessage): OutgoingHttpHeaders {
  const {headers} = message;
  return endToEndHeaders(headers, {connection: headers.connection});
}

/** Whether a response is a stream of events. */
export function isEventStream({headers}: IncomingMessage): boolean {
  return headers['content-type']?.startsWith('text/event-stream') === true;
}
