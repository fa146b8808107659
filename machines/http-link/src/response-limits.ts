import type http from 'node:http';
import {resumeMessage} from './pause-message.js';

/**
 * Maximum size of a response's head with the interim responses before it, in
 * bytes. The HTTP parser limits a header, but neither the number of interim
 * responses nor blank lines before the status line.
 */
const MAX_HEAD_BYTES = 65_536;
/**
 * Maximum size of a body that is read only so that its connection can be reused,
 * in bytes. A new connection costs less than reading more.
 */
const MAX_DISCARDED_BYTES = 65_536;
/** Maximum number of chunks of such a body, each of which takes as long as many bytes. */
const MAX_DISCARDED_CHUNKS = 256;
/** Maximum time for which such a body is read, in milliseconds. */
const DISCARD_TIMEOUT_MS = 1_000;

/**
 * Calls `onExceeded` with an error if more than 64 KiB arrive before the head of
 * the response is complete.
 */
export function limitResponseHead(
  request: http.ClientRequest,
  onExceeded: (error: Error) => void,
): void {
  request.once('socket', socket => {
    let receivedBytes = 0;
    let isWatching = true;
    const stop = () => {
      isWatching = false;
      socket.off('data', count);
    };
    const count = (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (isWatching && receivedBytes > MAX_HEAD_BYTES) {
        stop();
        onExceeded(
          new Error(`the head of the response exceeds ${MAX_HEAD_BYTES} bytes`),
        );
      }
    };
    socket.on('data', count);
    request.once('response', stop);
    request.once('close', stop);
  });
}

/**
 * Reads the rest of a body that nobody needs. Closes the connection if the body
 * exceeds 64 KiB or 256 chunks, or takes longer than a second.
 */
export function discardBody(message: http.IncomingMessage): void {
  let receivedBytes = 0;
  let receivedChunks = 0;
  const timer = setTimeout(() => message.destroy(), DISCARD_TIMEOUT_MS);
  message.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    receivedChunks += 1;
    if (
      receivedBytes > MAX_DISCARDED_BYTES ||
      receivedChunks > MAX_DISCARDED_CHUNKS
    ) {
      message.destroy();
    }
  });
  message.on('error', () => {
    // The rest of the body is of no interest.
  });
  message.on('close', () => clearTimeout(timer));
  resumeMessage(message);
}
