import net from 'node:net';
import {closeServer, listen} from '@marigoldspur/http-link';

/** Which way a link carries bytes. */
export interface LinkState {
  /** From the side that connects to the target. */
  readonly forward: boolean;
  /** From the target to the side that connects. */
  readonly backward: boolean;
}

/** Options of a cut link. */
export interface CutLinkOptions {
  /** Port that the link listens on; 0 takes any free one. */
  readonly port?: number;
}

/** A TCP link to a target that can be cut silently. */
export interface CutLink {
  readonly port: number;
  /** Bytes that were carried, both ways. */
  readonly bytes: () => number;
  /** Pieces that were carried, both ways: about one for each HTTP request and answer. */
  readonly pieces: () => number;
  readonly state: () => LinkState;
  /** Cuts or mends the link. What is sent while it is cut stays unsent, as on a cut cable. */
  set(state: LinkState): void;
  close(): Promise<void>;
}

const LOOPBACK = '127.0.0.1';

/**
 * Opens a link on loopback to a port there. A cut closes nothing: both sides
 * keep their connections and hear nothing, and new connections stay silent too.
 */
export async function openCutLink(
  targetPort: number,
  options: CutLinkOptions = {},
): Promise<CutLink> {
  const sockets = new Set<net.Socket>();
  const pairs = new Set<SocketPair>();
  let state: LinkState = {forward: true, backward: true};
  let bytes = 0;
  let pieces = 0;
  const server = net.createServer(near => {
    const far = net.connect(targetPort, LOOPBACK);
    const pair = {near, far};
    pairs.add(pair);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        apply(pair, state);
        if (near.destroyed && far.destroyed) {
          pairs.delete(pair);
        }
      });
    }
    near.on('data', chunk => {
      bytes += chunk.length;
      pieces += 1;
      far.write(chunk);
    });
    far.on('data', chunk => {
      bytes += chunk.length;
      pieces += 1;
      near.write(chunk);
    });
    apply(pair, state);
  });
  const {port} = await listen(server, {
    host: LOOPBACK,
    port: options.port ?? 0,
  });
  return {
    port,
    bytes: () => bytes,
    pieces: () => pieces,
    state: () => state,
    set: next => {
      state = next;
      pairs.forEach(pair => apply(pair, state));
    },
    close: async () => {
      state = {forward: true, backward: true};
      sockets.forEach(socket => socket.destroy());
      await closeServer(server);
    },
  };
}

interface SocketPair {
  /** Socket of the side that connects. */
  readonly near: net.Socket;
  /** Socket to the target. */
  readonly far: net.Socket;
}

/** Lets bytes pass as the state says; the end of one side is hidden by a cut too. */
function apply({near, far}: SocketPair, state: LinkState): void {
  const isEnded = near.destroyed || far.destroyed;
  if (isEnded && state.forward && state.backward) {
    near.destroy();
    far.destroy();
    return;
  }
  setFlow(near, state.forward);
  setFlow(far, state.backward);
}

function setFlow(socket: net.Socket, flows: boolean): void {
  if (flows) {
    socket.resume();
  } else {
    socket.pause();
  }
}
