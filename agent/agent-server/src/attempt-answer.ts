import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal} from '@marigoldspur/faults';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';

/** Headers that belong to one connection only (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
];

/** Answers an attempt with a refusal. */
export function refuseAttempt(
  response: ServerResponse,
  refusal: Refusal,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    [HOP_HEADERS.outcome]: refusal.outcome,
    [HOP_HEADERS.reason]: refusal.reason,
    ...(refusal.retryAfterSeconds !== undefined && {
      'retry-after': String(refusal.retryAfterSeconds),
    }),
  });
  response.end(JSON.stringify({message: refusal.message}));
}

/** Relays a target's answer with its length in a trailer; resolves to whether it was whole. */
export function relayAnswer(
  hop: Hop,
  answer: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> {
  return new Promise(resolve => {
    let bytes = 0;
    const headers = {...answer.headers};
    CONNECTION_HEADERS.forEach(name => delete headers[name]);
    response.writeHead(answer.statusCode ?? 502, {
      ...headers,
      trailer: HOP_HEADERS.end,
      [HOP_HEADERS.request]: hop.request,
      [HOP_HEADERS.attempt]: String(hop.attempt),
    });
    response.flushHeaders();
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (!response.write(chunk)) {
        answer.pause();
      }
    });
    response.on('drain', () => answer.resume());
    answer.on('close', () => {
      if (!answer.complete) {
        response.destroy();
        resolve(false);
      }
    });
    answer.on('error', () => {});
    answer.on('end', () => {
      if (answer.complete) {
        response.addTrailers({[HOP_HEADERS.end]: String(bytes)});
        response.end(() => resolve(true));
      }
    });
    response.on('close', () => {
      answer.destroy();
      resolve(response.writableFinished);
    });
  });
}
