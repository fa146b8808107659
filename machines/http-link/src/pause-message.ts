import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {TLSSocket} from 'node:tls';
import {SlicedSocket} from './sliced-socket.js';

/** How to read on each connection that is held. */
const releases = new WeakMap<Socket, () => void>();

/**
 * Stops reading a response, and its connection with it. A response that is paused alone takes
 * chunks until its buffer is full of bytes, which for chunks of one byte is far more memory.
 */
export function pauseMessage(message: IncomingMessage): void {
  message.pause();
  holdConnection(message);
}

/**
 * Pauses a response, and reads its connection on until the buffer of the response is full, so that the
 * end of a small one is seen.
 */
export function pauseAndReadAhead(message: IncomingMessage): void {
  message.pause();
  if (!message.complete) {
    releases.get(message.socket)?.();
  }
}

/** Reads on after `pauseMessage`: first what the response has buffered, then its connection. */
export function resumeMessage(message: IncomingMessage): void {
  message.resume();
}

/**
 * Stops reading the connection of a response until the response is read. Otherwise all that arrived
 * together with its head would be parsed before the first chunk can be handled.
 */
export function holdConnection(message: IncomingMessage): void {
  const {socket} = message;
  // The connection of a complete response may serve another request.
  if (message.complete || releases.has(socket) || !canHold(socket)) {
    return;
  }
  const {resume} = socket;
  socket.pause();
  // Node.js resumes the connection of a response whose buffer has room, also if it is paused.
  socket.resume = () => socket;
  const release = () => {
    message.off('resume', releaseWhenRead);
    message.off('end', release);
    releases.delete(socket);
    // Deleting the property would make each later access to the socket slow.
    socket.resume = resume;
    socket.resume();
  };
  // The response passes on what it has buffered right after this event, and may pause again.
  const releaseWhenRead = () =>
    process.nextTick(() => {
      if (!message.isPaused() && releases.get(socket) === release) {
        release();
      }
    });
  releases.set(socket, release);
  message.on('resume', releaseWhenRead);
  // A response may end while it is paused, and its connection serve the next request.
  message.on('end', release);
}

/** Whether what a connection reads at once is small; TLS reads one record. */
function canHold(socket: Socket): boolean {
  return socket instanceof SlicedSocket || socket instanceof TLSSocket;
}
