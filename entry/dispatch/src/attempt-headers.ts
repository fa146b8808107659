import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {endToEndHeaders} from '@marigoldspur/http-link';
import {
  formatHop,
  HOP_HEADERS,
  type ClockTime,
  type Hop,
} from '@marigoldspur/messages';
import type {Attempt} from './attempt.js';

/** Headers that end at the entry. */
const ENTRY_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'expect',
  'host',
  'proxy-authorization',
]);

/** The headers of an attempt, written now: the caller's, without those that must not pass, and the hop's. */
export function attemptHeaders(
  attempt: Attempt,
  written: ClockTime,
): OutgoingHttpHeaders {
  const {headers} = attempt;
  return {
    ...endToEndHeaders(headers, {
      connection: headers.connection,
      dropped: ENTRY_HEADERS,
    }),
    ...formatHop({...attempt.hop, written}),
    ...(attempt.resumeAfter !== undefined && {
      [HOP_HEADERS.resumeAfter]: String(attempt.resumeAfter),
    }),
    ...bodyHeaders(attempt),
  };
}

/** An empty body is held back too: in chunks, what ends it can come later. */
function bodyHeaders(attempt: Attempt): OutgoingHttpHeaders {
  const {length} = attempt.body;
  if (!waitsForContinue(attempt)) {
    return {'content-length': length};
  }
  return length > 0
    ? {'content-length': length, expect: '100-continue'}
    : {'transfer-encoding': 'chunked', expect: '100-continue'};
}

/**
 * Whether the body, or the end of an empty one, waits for the agent's `100 Continue`:
 * where the request may not be repeated, unless nothing is run, as on a resume.
 */
export function waitsForContinue(attempt: Attempt): boolean {
  return !attempt.hop.repeatable && attempt.resumeAfter === undefined;
}

/** The headers that tell an agent that an attempt is cancelled. */
export function cancelHeaders(hop: Hop): OutgoingHttpHeaders {
  return {
    ...formatHop(hop),
    [HOP_HEADERS.cancel]: 'true',
    'content-length': 0,
  };
}

/** How long a broken answer can be resumed at its target, in milliseconds; 0 for not at all. */
export function resumeWindowMs(message: IncomingMessage): number {
  const text = String(message.headers[HOP_HEADERS.resumable] ?? '');
  return /^\d{1,9}$/.test(text) ? Number(text) : 0;
}

/** The headers of a target's answer that the caller gets. */
export function responseHeaders(message: IncomingMessage): OutgoingHttpHeaders {
  const {headers} = message;
  return endToEndHeaders(headers, {connection: headers.connection});
}
