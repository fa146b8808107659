import type {ServerResponse} from 'node:http';
import {BoundedSignal} from './bounded-signal.js';

/** Returns a signal that aborts when the connection closes before the whole response was sent. */
export function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const disconnected = new BoundedSignal({});
  response.on('close', () => {
    if (!response.writableFinished) {
      disconnected.abort();
    }
  });
  return disconnected.signal;
}
