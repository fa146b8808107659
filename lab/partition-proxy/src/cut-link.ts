import net from 'node:net';
import {closeServer, listen} from '@marigoldspur/http-link';

/** The directions in which a link carries data. */
export interface LinkState {
  /** Whether data passes from the client to the target. */
  readonly forward: boolean;
  /** Whether data passes from the target to the client. */
  readonly backward: boolean;
}

/** Options of a link. */
export interface CutLinkOptions {
  /** Port that the link listens on; 0, the default, selects any free port. */
  readonly port?: number;
}

/** A TCP link to a target that can be cut silently. */
export interface CutLink {
  readonly port: number;
  /** Number of bytes carried in both directions. */
  readonly bytes: () => number;
  /** Number of chunks carried in both directions: about one for each HTTP request and response. */
  readonly chunks: () => number;
  readonly state: () => LinkState;
  /** Cuts or restores the link. Data sent while it is cut is not delivered until it is restored. */
  set(state: LinkState): void;
  close(): Promise<void>;
}

const LOOPBACK = '127.0.0.1';

/**
 * Opens a link on loopback to a port there. A cut closes no connection: both sides
 * keep theirs but receive no data, and neither does a new connection.
 */
export async function openCutLink(
  targetPort: number,
  options: CutLinkOptions = {},
): Promise<CutLink> {
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
    bytes: () => bytes,
    chunks: () => chunks,
    state: () => state,
    set: next => {
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

/** Pauses or resumes each direction of a connection; a cut also hides that one side closed. */
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
