import net from 'node:net';
import {closeServer, listen} from '@marigoldspur/http-link';

/** The directions in which a proxied link forwards data. */
export interface LinkState {
  /** Whether data from the client is forwarded to the target. */
  readonly forward: boolean;
  /** Whether data from the target is forwarded to the client. */
  readonly backward: boolean;
}

/** Options of a partition proxy. */
export interface PartitionProxyOptions {
  /** Port that the proxy listens on; 0, the default, selects a free port. */
  readonly port?: number;
}

/** A TCP proxy that can cut the link to a target without closing its connections. */
export interface PartitionProxy {
  /** Port that the proxy listens on. */
  readonly port: number;
  /** Returns the number of bytes forwarded in both directions together. */
  readonly countBytes: () => number;
  /**
   * Returns the number of chunks forwarded in both directions together: about one for each
   * HTTP request and response.
   */
  readonly countChunks: () => number;
  readonly getState: () => LinkState;
  /** Cuts or restores the link. Data sent while it is cut is not delivered until it is restored. */
  setState(state: LinkState): void;
  /** Closes the connections and stops listening. */
  close(): Promise<void>;
}

const LOOPBACK = '127.0.0.1';

/**
 * Opens a proxy on loopback for another loopback port. A cut closes no connection: both
 * sides stay connected but receive no data. A new connection is accepted but carries no
 * data either.
 */
export async function openPartitionProxy(
  targetPort: number,
  options: PartitionProxyOptions = {},
): Promise<PartitionProxy> {
  const sockets = new Set<net.Socket>();
  const pairs = new Set<SocketPair>();
  let state: LinkState = {forward: true, backward: true};
  let bytes = 0;
  let chunks = 0;
  const server = net.createServer(downstream => {
    const upstream = net.connect(targetPort, LOOPBACK);
    const pair = {downstream, upstream};
    pairs.add(pair);
    for (const socket of [downstream, upstream]) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        applyState(pair, state);
        if (downstream.destroyed && upstream.destroyed) {
          pairs.delete(pair);
        }
      });
    }
    downstream.on('data', chunk => {
      bytes += chunk.length;
      chunks += 1;
      upstream.write(chunk);
    });
    upstream.on('data', chunk => {
      bytes += chunk.length;
      chunks += 1;
      downstream.write(chunk);
    });
    applyState(pair, state);
  });
  const {port} = await listen(server, {
    host: LOOPBACK,
    port: options.port ?? 0,
  });
  return {
    port,
    countBytes: () => bytes,
    countChunks: () => chunks,
    getState: () => state,
    setState: next => {
      state = next;
      pairs.forEach(pair => applyState(pair, state));
    },
    close: async () => {
      state = {forward: true, backward: true};
      sockets.forEach(socket => socket.destroy());
      await closeServer(server);
    },
  };
}

interface SocketPair {
  /** Socket to the client. */
  readonly downstream: net.Socket;
  /** Socket to the target. */
  readonly upstream: net.Socket;
}

/**
 * Pauses or resumes each direction of a connection. If one side has closed, the other is
 * closed too, but not while the link is cut.
 */
function applyState(
  {downstream, upstream}: SocketPair,
  state: LinkState,
): void {
  const isHalfClosed = downstream.destroyed || upstream.destroyed;
  if (isHalfClosed && state.forward && state.backward) {
    downstream.destroy();
    upstream.destroy();
    return;
  }
  setFlow(downstream, state.forward);
  setFlow(upstream, state.backward);
}

function setFlow(socket: net.Socket, isOpen: boolean): void {
  if (isOpen) {
    socket.resume();
  } else {
    socket.pause();
  }
}
