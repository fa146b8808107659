import type http from 'node:http';
import {LineReader, openRequest} from '@marigoldspur/http-link';

/** A stream of JSON messages, one a line. */
export interface LineStreamOptions {
  readonly url: URL;
  readonly agent: http.Agent;
  /** Longest silence before the stream counts as lost, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Takes each message; what it throws ends the stream. */
  readonly onMessage: (message: unknown) => void;
  /** Called once, with the reason, when the stream has ended. */
  readonly onEnd: (reason: string) => void;
}

const HTTP_OK = 200;
const MAX_LINE_BYTES = 33_554_432;

/** Opens a stream; the returned function ends it without a call of `onEnd`. */
export function openLineStream(options: LineStreamOptions): () => void {
  const {agent, onEnd, onMessage, idleTimeoutMs: silenceMs, url} = options;
  const reader = new LineReader(MAX_LINE_BYTES);
  let ended = false;
  const request = openRequest({url, method: 'GET', headers: {}, agent});
  const close = () => {
    ended = true;
    clearTimeout(timer);
    request.destroy();
  };
  const end = (reason: string) => {
    if (!ended) {
      close();
      onEnd(reason);
    }
  };
  const timer = setTimeout(() => end('silent'), silenceMs);
  const read = (piece: Buffer) => {
    timer.refresh();
    try {
      reader.push(piece).forEach(line => onMessage(JSON.parse(line)));
    } catch (thrown) {
      end(String(thrown));
    }
  };
  request.on('error', error => end(error.message));
  request.on('response', response => {
    if (response.statusCode !== HTTP_OK) {
      end(`HTTP status ${response.statusCode}`);
      return;
    }
    response.on('data', read);
    response.on('error', error => end(error.message));
    response.on('close', () => end('the connection closed'));
  });
  request.end();
  return close;
}
