import type {Socket} from 'node:net';

/**
 * Calls `onReset` if a connection was reset although it reports an ordinary end, before other
 * listeners hear of that end. libuv reports a reset as an end if it arrives together with bytes; the
 * kernel does not know the peer of such a connection any more. Nobody may have asked for
 * `remoteAddress` or `remotePort` before, which the socket keeps.
 */
export function detectReset(socket: Socket, onReset: () => void): void {
  socket.prependOnceListener('end', () => {
    if (socket.remotePort === undefined) {
      onReset();
    }
  });
}
