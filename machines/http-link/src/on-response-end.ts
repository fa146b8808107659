import type http from 'node:http';

/**
 * Calls `onEnd` once, when a response was sent or its connection has closed; at once if that has
 * happened already. A response that waits for earlier ones of its connection emits no `close`
 * when the connection is lost.
 */
export function onResponseEnd(
  response: http.ServerResponse,
  onEnd: () => void,
): void {
  const socket = response.socket ?? response.req.socket;
  if (response.closed || response.destroyed || socket.destroyed) {
    onEnd();
    return;
  }
  const end = () => {
    response.off('close', end);
    socket.off('close', end);
    onEnd();
  };
  response.once('close', end);
  socket.once('close', end);
}
