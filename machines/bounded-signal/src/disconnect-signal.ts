import type {ServerResponse} from 'node:http';
import {BoundedSignal} from './bounded-signal.js';

/** A signal that aborts when the connection of a response ends before the whole response went out. */
export function disconnectSignal(response: ServerResponse): AbortSignal {
  const gone = new BoundedSignal({});
  response.on('close', () => {
    if (!response.writableFinished) {
      gone.abort();
    }
  });
  return gone.signal;
}
