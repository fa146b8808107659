import type http from 'node:http';
import type {Duplex} from 'node:stream';
import type {NetConnectOpts, Socket} from 'node:net';
import {SlicedHttpAgent} from './sliced-http-agent.js';

/** Maximum number of idle connections per target. */
const MAX_FREE_SOCKETS = 32;
/**
 * Time after which an idle connection is closed if the target states none, in
 * milliseconds.
 */
const DEFAULT_IDLE_TIMEOUT_MS = 1_000;
const MAX_IDLE_TIMEOUT_MS = 10_000;
/**
 * Share of the keep-alive time stated by the target after which an idle
 * connection is closed.
 */
const KEEP_ALIVE_SHARE = 0.7;
const MS_PER_SECOND = 1_000;
/** Number of refused calls after which a connection is not kept; their IDs take memory. */
const MAX_REFUSED_CALLS = 128;

/**
 * HTTP agent for connections to targets. A connection that receives bytes or
 * ends while it is idle is never reused, because such bytes belong to no call.
 */
export class TargetHttpAgent extends SlicedHttpAgent {
  private readonly idleListeners = new WeakMap<Duplex, () => void>();
  /** IDs of the calls that were refused over each connection. */
  private readonly refusedCalls = new WeakMap<Duplex, Set<string>>();

  constructor(
    options: Pick<http.AgentOptions, 'keepAlive' | 'maxSockets'> = {},
  ) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      noDelay: true,
      ...options,
    });
  }

  /** Records that a call was refused over a connection, where the refusal may come again. */
  recordRefusal(connection: Duplex, call: string): void {
    const calls = this.refusedCalls.get(connection) ?? new Set();
    this.refusedCalls.set(connection, calls.add(call));
  }

  /** Whether an idle connection to an address has brought a refusal of a call. */
  hasRefused(address: {host: string; port: string}, call: string): boolean {
    const {host, port} = address;
    const idle = this.freeSockets[this.getName({host, port: Number(port)})];
    return (
      idle?.some(socket => this.refusedCalls.get(socket)?.has(call)) === true
    );
  }

  override createConnection(options: NetConnectOpts): Duplex {
    const socket = super.createConnection(options);
    socket.on('data', () => destroyIfUnread(socket));
    return socket;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    super.keepSocketAlive(socket);
    const refusedCount = this.refusedCalls.get(socket)?.size ?? 0;
    if (socket.readableLength > 0 || refusedCount >= MAX_REFUSED_CALLS) {
      return false;
    }
    const destroy = () => socket.destroy();
    this.idleListeners.set(socket, destroy);
    socket.on('data', destroy);
    socket.on('end', destroy);
    (socket as Socket).setTimeout(
      idleTimeoutMs(keepAliveHeader(socket)),
      destroy,
    );
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const destroy = this.idleListeners.get(socket);
    if (destroy !== undefined) {
      socket.off('data', destroy);
      socket.off('end', destroy);
      socket.off('timeout', destroy);
      (socket as Socket).setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}

/** Closes a connection whose response is complete and which is not idle yet, as nothing may follow. */
function destroyIfUnread(socket: Duplex): void {
  if (socket.listenerCount('data') === 1) {
    socket.destroy();
  }
}

/** The `Keep-Alive` header of the last response on a connection. */
function keepAliveHeader(socket: Duplex): string | undefined {
  const {_httpMessage: request} = socket as {
    _httpMessage?: {res?: http.IncomingMessage};
  };
  const header = request?.res?.headers['keep-alive'];
  return header?.toString();
}

function idleTimeoutMs(keepAlive: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  return seconds === undefined
    ? DEFAULT_IDLE_TIMEOUT_MS
    : Math.min(
        MAX_IDLE_TIMEOUT_MS,
        Number(seconds) * MS_PER_SECOND * KEEP_ALIVE_SHARE,
      );
}
