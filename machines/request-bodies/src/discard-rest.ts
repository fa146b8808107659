import type {IncomingMessage} from 'node:http';
import {GuardedMessage} from './guarded-message.js';

/** Time for which the rest of a refused body is read, in milliseconds. */
const DISCARD_TIMEOUT_MS = 5_000;
/** Number of bodies that are discarded as fast as they come, up to a size. */
const MAX_UNPACED = 4;
/** Size up to which they are, in bytes; a longer one is sent without regard to the answer. */
const MAX_UNPACED_BYTES = 16_777_216;
/**
 * Time between two pieces of a body for each body that is discarded, in milliseconds. Together they
 * bring 64 KiB in this time: without a bound, what is dropped takes memory faster than it is freed.
 */
const PACE_MS = 2;

/** Number of bodies that are being discarded. */
let discardedCount = 0;

/**
 * Reads and drops the rest of a body, so that its sender can read the answer: closing a connection
 * with unread bytes resets it. Closes the connection if the body does not end within 5 s. With
 * `isPaced`, many bodies and long ones are read the more slowly.
 */
export function discardRest(request: IncomingMessage, isPaced = false): void {
  if (request.complete || request.destroyed) {
    request.resume();
    return;
  }
  const pace = isPaced ? new Pace(request) : undefined;
  const timeout = setTimeout(() => request.destroy(), DISCARD_TIMEOUT_MS);
  const end = () => {
    clearTimeout(timeout);
    pace?.end();
  };
  request.on('error', () => {
    // The rest of the body is of no interest.
  });
  request.once('close', end);
  request.once('end', end);
  request.removeAllListeners('data');
  if (isPaced && request instanceof GuardedMessage) {
    request.dropBody(byteLength => pace?.isReadOn(byteLength) ?? true);
  } else {
    request.resume();
  }
}

/** Slows the reading of a discarded body down while there are many, and once it is long. */
class Pace {
  private timer: NodeJS.Timeout | undefined;
  private hasEnded = false;
  private droppedBytes = 0;

  constructor(private readonly request: IncomingMessage) {
    discardedCount += 1;
  }

  /** Records what was dropped. Whether the connection is read on at once; it is resumed later otherwise. */
  isReadOn(byteLength: number): boolean {
    this.droppedBytes += byteLength;
    const isPaced =
      discardedCount > MAX_UNPACED || this.droppedBytes > MAX_UNPACED_BYTES;
    if (this.hasEnded || !isPaced) {
      return true;
    }
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.request.socket.resume();
    }, discardedCount * PACE_MS);
    return false;
  }

  end(): void {
    discardedCount -= this.hasEnded ? 0 : 1;
    this.hasEnded = true;
    if (this.timer !== undefined) {
      clearTimeout(this.timer);
      this.timer = undefined;
      // A paused connection would not bring its next request.
      this.request.socket.resume();
    }
  }
}
