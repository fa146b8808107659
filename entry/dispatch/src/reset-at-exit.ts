import type {ServerResponse} from 'node:http';

const unfinished = new Set<ServerResponse>();

process.on('exit', () => unfinished.forEach(resetConnection));

/**
 * Has the connection of a response that only its connection ends reset if this process exits, also
 * by an unexpected error, before all of it was written. Returns what is to be called after that.
 */
export function resetAtExit(response: ServerResponse): () => void {
  unfinished.add(response);
  return () => unfinished.delete(response);
}

/** Closes the connection of a response so that its caller can tell that the response is incomplete. */
export function resetConnection({socket}: ServerResponse): void {
  socket?.resetAndDestroy();
  // Alone, that waits until the caller has taken what was written.
  socket?.destroy();
}
