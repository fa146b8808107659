import http from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

/** Connections that are kept unused to one target. */
const MAX_FREE_SOCKETS = 32;
/** Targets close unused connections at a time of their own; ours are closed well before, in milliseconds. */
const MAX_IDLE_MS = 2_000;

/**
 * Connections to targets. One that carries bytes, or ends, while no call is on it is
 * never used again: what comes then belongs to no call.
 */
export class TargetAgent extends http.Agent {
  private readonly stray = new WeakMap<Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      noDelay: true,
    });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    super.keepSocketAlive(socket);
    if (socket.readableLength > 0) {
      return false;
    }
    const drop = () => socket.destroy();
    this.stray.set(socket, drop);
    socket.on('data', drop);
    socket.on('end', drop);
    (socket as Socket).setTimeout(MAX_IDLE_MS, drop);
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const drop = this.stray.get(socket);
    if (drop !== undefined) {
      socket.off('data', drop);
      socket.off('end', drop);
      socket.off('timeout', drop);
      (socket as Socket).setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}
