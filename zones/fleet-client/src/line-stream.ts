import type http from 'node:http';
import {LineReader, openRequest} from '@marigoldspur/http-link';

/** Options of a stream of newline-delimited JSON messages. */
export interface LineStreamOptions {
  readonly url: URL;
  readonly agent: http.Agent;
  readonly headers?: http.OutgoingHttpHeaders;
  /** Time without data after which the stream counts as lost, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Called with each message and its size; an exception ends the stream. */
  readonly onMessage: (message: unknown, bytes: number) => void;
  /** Called once with the reason when the stream has ended. */
  readonly onEnd: (reason: string) => void;
}

const STATUS_OK = 200;
const MAX_LINE_BYTES = 33_554_432;

/** Opens a stream; the returned function ends it without calling `onEnd`. */
export function openLineStream(options: LineStreamOptions): () => void {
  const {agent, headers = {}, onEnd, onMessage, idleTimeoutMs, url} = options;
  const reader = new LineReader(MAX_LINE_BYTES);
  let isEnded = false;
  const request = openRequest({url, method: 'GET', headers, agent});
  const close = () => {
    isEnded = true;
    clearTimeout(timer);
    request.destroy();
  };
  const end = (reason: string) => {
    if (!isEnded) {
      close();
      onEnd(reason);
    }
  };
  const timer = setTimeout(() => end('silent'), idleTimeoutMs);
  const readChunk = (chunk: Buffer) => {
    timer.refresh();
    try {
      reader
        .push(chunk)
        .forEach(line => onMessage(JSON.parse(line), Buffer.byteLength(line)));
    } catch (thrown) {
      end(String(thrown));
    }
  };
  request.on('error', error => end(error.message));
  request.on('response', response => {
    if (response.statusCode !== STATUS_OK) {
      end(`the server answered with HTTP status ${response.statusCode}`);
      return;
    }
    response.on('data', readChunk);
    response.on('error', error => end(error.message));
    response.on('close', () => end('the connection closed'));
  });
  request.end();
  return close;
}
