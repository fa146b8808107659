import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';
import {formatHop} from '@marigoldspur/messages';
import type {Attempt} from './attempt.js';

/** Headers that belong to one connection only (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/** Headers that end at the entry. */
const ENTRY_HEADERS = new Set([
  'authorization',
  'expect',
  'host',
  'proxy-authorization',
]);
const OWN_HEADER_PREFIX = 'x-marigoldspur-';

/** The headers of an attempt: the caller's, without those that must not pass, and the hop's. */
export function attemptHeaders(attempt: Attempt): OutgoingHttpHeaders {
  const kept = passedHeaders(attempt.headers);
  ENTRY_HEADERS.forEach(name => delete kept[name]);
  return {
    ...kept,
    ...formatHop(attempt.hop),
    'content-length': attempt.body.length,
    ...(waitsForContinue(attempt) && {expect: '100-continue'}),
  };
}

/**
 * Whether the body waits for the agent's `100 Continue`: where the request may not be
 * repeated, unless it has no body to hold back.
 */
export function waitsForContinue(attempt: Attempt): boolean {
  return !attempt.hop.repeatable && attempt.body.length > 0;
}

/** The headers of a target's answer that the caller gets. */
export function answerHeaders(message: IncomingMessage): OutgoingHttpHeaders {
  return passedHeaders(message.headers);
}

function passedHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const named = String(headers.connection ?? '').toLowerCase();
  const ofConnection = new Set(named.split(',').map(name => name.trim()));
  const kept = Object.entries(headers).filter(
    ([name]) =>
      !CONNECTION_HEADERS.has(name) &&
      !ofConnection.has(name) &&
      !name.startsWith(OWN_HEADER_PREFIX),
  );
  return Object.fromEntries(kept);
}
