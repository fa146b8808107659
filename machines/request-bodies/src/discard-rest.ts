import type {IncomingMessage} from 'node:http';

/** Time for which the rest of a refused body is read, in milliseconds. */
const DISCARD_TIMEOUT_MS = 5_000;

/**
 * Reads and drops the rest of a body, so that its sender can read the answer: closing a connection
 * with unread bytes resets it. Closes the connection if the body does not end within 5 s.
 */
export function discardRest(request: IncomingMessage): void {
  if (request.complete || request.destroyed) {
    request.resume();
    return;
  }
  const timer = setTimeout(() => request.destroy(), DISCARD_TIMEOUT_MS);
  request.on('error', () => {
    // The rest of the body is of no interest.
  });
  request.on('close', () => clearTimeout(timer));
  request.on('end', () => clearTimeout(timer));
  request.removeAllListeners('data');
  request.resume();
}
