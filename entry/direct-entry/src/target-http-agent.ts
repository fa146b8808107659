import http from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

/** Connections that are kept unused to one target. */
const MAX_FREE_SOCKETS = 32;
/** Unused time after which a connection is closed where the target states none, in milliseconds. */
const DEFAULT_IDLE_MS = 1_000;
const MAX_IDLE_MS = 10_000;
/** Share of the time that a target states after which a connection is closed here. */
const IDLE_SHARE = 0.7;
const SECOND_MS = 1_000;

/**
 * Connections to targets. One that carries bytes, or ends, while no call is on it is
 * never used again: what comes then belongs to no call.
 */
export class TargetHttpAgent extends http.Agent {
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
    (socket as Socket).setTimeout(idleMs(statedBy(socket)), drop);
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

/** The `Keep-Alive` header of the answer that came last on a connection. */
function statedBy(socket: Duplex): string | undefined {
  const {_httpMessage: request} = socket as {
    _httpMessage?: {res?: http.IncomingMessage};
  };
  const header = request?.res?.headers['keep-alive'];
  return header?.toString();
}

function idleMs(keepAlive: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  return seconds === undefined
    ? DEFAULT_IDLE_MS
    : Math.min(MAX_IDLE_MS, Number(seconds) * SECOND_MS * IDLE_SHARE);
}
