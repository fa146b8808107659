import type {Socket} from 'node:net';

/**
 * Calls `onReset` if a connection was reset although it reports an ordinary end, before other
 * listeners hear of that end. libuv reports a reset as an end if it arrives together with bytes;
 * writing nothing fails then, and has no effect otherwise.
 */
export function detectReset(socket: Socket, onReset: () => void): void {
  socket.prependOnceListener('end', () => {
    if (socket.writable) {
      socket.write('', error => error && onReset());
    }
  });
}
