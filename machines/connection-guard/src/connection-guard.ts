import type http from 'node:http';
import type {Socket} from 'node:net';
import tls from 'node:tls';
import {onResponseEnd} from '@marigoldspur/http-link';
import {REQUEST_OBJECTS, type MemoryBudget} from '@marigoldspur/memory-budget';
import {
  ChunkLimit,
  ChunkRateLimit,
  GuardedMessage,
} from '@marigoldspur/request-bodies';
import {ConnectionTable} from './connection-table.js';
import {headerObjectBytes} from './header-objects.js';
import {stopParsing} from './stop-parsing.js';

/**
 * Which limit closes a connection: that on connections, on requests without a response, on the
 * memory for the headers of requests, or on small chunks of a body.
 */
export type CloseReason = 'connections' | 'pipelined' | 'headers' | 'chunks';

/** Options of a connection guard. */
export interface ConnectionGuardOptions {
  /** Maximum number of requests of one connection without a response; none if absent. */
  readonly maxPipelined?: number;
  /** Maximum number of connections; none if absent or undefined. */
  readonly maxConnections?: () => number | undefined;
  /** Limits the memory for the headers of requests; none if absent. */
  readonly memory?: Pick<MemoryBudget, 'reserve'>;
  /** Whether requests with a body are answered without reading it, and their connections closed. */
  readonly ignoresBodies?: boolean;
  /**
   * Whether callers are processes of the system, which send bodies that never end: the rate of their
   * small chunks is limited in place of the number, and a request counts as complete once its headers are.
   */
  readonly isTrusted?: boolean;
  /** Called with each connection that a limit closes. */
  readonly onClosed?: (reason: CloseReason) => void;
  /** Refuses a request for lack of memory; by default its connection is closed at once. */
  readonly refuse?: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => void;
}

/** Limits what the connections of one server take. */
export class ConnectionGuard {
  /** Options with which the server has to be created. */
  readonly serverOptions = {
    IncomingMessage: GuardedMessage,
    // Node.js would answer requests without a host before any limit applies.
    requireHostHeader: false,
  };

  private readonly connections = new ConnectionTable();
  /** Number of requests of each connection without a response. */
  private readonly unanswered = new WeakMap<Socket, number>();

  constructor(private readonly options: ConnectionGuardOptions) {}

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Watches the connections of a server. */
  watch(server: http.Server): void {
    // Requests come over the sockets of these events.
    const event =
      server instanceof tls.Server ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => this.add(socket));
    server.on('checkExpectation', (request, response) =>
      refuseAndClose(request, response, STATUS_EXPECTATION_FAILED),
    );
  }

  /** Returns a handler that passes on the requests which the limits allow. */
  wrap(handler: http.RequestListener): http.RequestListener {
    return (request, response) => {
      const {socket} = request;
      if (socket.destroyed) {
        return;
      }
      if (request.httpVersion === '1.1' && request.headers.host === undefined) {
        refuseAndClose(request, response, STATUS_BAD_REQUEST);
      } else if (this.admit(request, response)) {
        handler(request, response);
      }
    };
  }

  private add(socket: Socket): void {
    // Each request of the connection listens to its end.
    socket.setMaxListeners(0);
    const {maxConnections} = this.options;
    const closed = this.connections.add(socket, maxConnections?.() ?? Infinity);
    socket.once('close', () => this.connections.remove(socket));
    if (closed !== undefined) {
      this.close(closed, 'connections');
    }
  }

  /** Whether a request may be handled; refuses it otherwise. */
  private admit(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): boolean {
    const {ignoresBodies, maxPipelined = Infinity, memory} = this.options;
    const {socket} = request;
    const unanswered = (this.unanswered.get(socket) ?? 0) + 1;
    if (unanswered > maxPipelined) {
      this.close(socket, 'pipelined');
      return false;
    }
    this.watchBody(request);
    const reservation = memory?.reserve(
      REQUEST_OBJECTS,
      headerObjectBytes(request),
    );
    if (memory !== undefined && reservation === undefined) {
      this.refuse(request, response);
      return false;
    }
    this.unanswered.set(socket, unanswered);
    onResponseEnd(response, () => {
      reservation?.release();
      this.unanswered.set(socket, this.unanswered.get(socket)! - 1);
    });
    if (ignoresBodies === true && hasBody(request)) {
      dropBody(request);
      response.setHeader('connection', 'close');
    }
    return true;
  }

  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (this.options.refuse === undefined) {
      this.close(request.socket, 'headers');
      return;
    }
    stopParsing(request.socket);
    this.options.onClosed?.('headers');
    this.options.refuse(request, response);
  }

  private watchBody(request: http.IncomingMessage): void {
    const {socket} = request;
    const {isTrusted = false} = this.options;
    const onComplete = () => this.connections.recordRequest(socket);
    const isWatched = request instanceof GuardedMessage && hasBody(request);
    if (isTrusted || !isWatched) {
      onComplete();
    }
    if (isWatched) {
      const onTooManyChunks = () => this.close(socket, 'chunks');
      const chunkCheck = isTrusted ? new ChunkRateLimit() : new ChunkLimit();
      request.watchBody({onComplete, onTooManyChunks}, chunkCheck);
    }
  }

  private close(socket: Socket, reason: CloseReason): void {
    stopParsing(socket);
    socket.destroy();
    this.options.onClosed?.(reason);
  }
}

const STATUS_BAD_REQUEST = 400;
const STATUS_EXPECTATION_FAILED = 417;

function hasBody({headers}: http.IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}

function dropBody(request: http.IncomingMessage): void {
  if (request instanceof GuardedMessage) {
    request.dropBody();
  }
}

/** Answers a request that no handler gets; nothing behind it on its connection runs. */
function refuseAndClose(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  status: number,
): void {
  stopParsing(request.socket);
  dropBody(request);
  response.writeHead(status, {connection: 'close'});
  response.end();
}
