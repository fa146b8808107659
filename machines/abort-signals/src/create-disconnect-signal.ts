import type {ServerResponse} from 'node:http';
import {BoundedSignal} from './bounded-signal.js';

/**
 * Returns a signal that aborts when the connection closes before the whole response was sent, or
 * when the caller has closed its side, after which nothing can be sent either.
 */
export function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const disconnected = new BoundedSignal({});
  // A response that waits for earlier ones of its connection has no socket yet.
  const socket = response.socket ?? response.req?.socket;
  const abort = () => {
    if (!response.writableFinished) {
      disconnected.abort();
    }
  };
  // The server closes its own side some turns of the event loop later.
  socket?.once('end', abort);
  socket?.once('close', abort);
  response.on('close', () => {
    socket?.off('end', abort);
    socket?.off('close', abort);
    abort();
  });
  return disconnected.signal;
}
