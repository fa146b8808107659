import type http from 'node:http';

/**
 * Maximum number of bytes of a response's head, including interim responses, in
 * bytes. The HTTP parser limits the header, but neither interim responses nor
 * blank lines before the status line.
 */
const MAX_HEAD_BYTES = 65_536;

/**
 * Calls `onExceeded` if more than 64 KiB arrive before the head of the response
 * is complete.
 */
export function limitResponseHead(
  request: http.ClientRequest,
  onExceeded: () => void,
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
        onExceeded();
      }
    };
    socket.on('data', count);
    request.once('response', stop);
    request.once('close', stop);
  });
}
