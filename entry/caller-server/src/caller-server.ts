import type http from 'node:http';
import type {Socket} from 'node:net';
import {
  ConnectionGuard,
  stopParsing,
  type CloseReason,
} from '@marigoldspur/connection-guard';
import {guard} from '@marigoldspur/fault-guard';
import {
  closeServer,
  onResponseEnd,
  onResponseHead,
} from '@marigoldspur/http-link';
import type {Fault} from '@marigoldspur/faults';
import type {LoopClock} from '@marigoldspur/loop-clock';
import type {MemoryBudget} from '@marigoldspur/memory-budget';
import {discardRest} from '@marigoldspur/request-bodies';
import {formatClientErrorResponse} from '@marigoldspur/caller-api';

/** Limits on callers' connections and requests. */
export interface CallerLimits {
  /** Maximum size of a request's headers, in bytes. */
  readonly maxHeaderBytes: number;
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** Timeout for receiving a whole request, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Options of a caller server. */
export interface CallerServerOptions {
  /**
   * Handles one request, which arrived at `arrivedAt`, in milliseconds, or later if this
   * process was late.
   */
  readonly handle: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    arrivedAt: number,
  ) => Promise<void>;
  /** Called with an error of `handle`, whose connection was closed. */
  readonly onFault: (fault: Fault) => void;
  /** Called when a limit closes a connection. */
  readonly onConnectionClosed?: (reason: CloseReason) => void;
  /** The turns of this process's event loop. */
  readonly clock: Pick<LoopClock, 'earliestArrival' | 'turns'>;
  /** Whether the process is shutting down. */
  readonly isDraining: () => boolean;
  readonly createServer: (
    options: http.ServerOptions,
    handler: http.RequestListener,
  ) => http.Server;
  /** Path at which this server itself answers readiness checks, if any. */
  readonly readinessPath?: string;
  readonly limits?: CallerLimits;
  /**
   * Returns the maximum number of connections with heads of at most `maxHeaderBytes`. For further
   * ones the oldest without a complete request is closed. No limit if it is absent or returns
   * undefined.
   */
  readonly maxConnections?: (maxHeaderBytes: number) => number | undefined;
  /** Limits the memory for the headers of requests; no limit if absent. */
  readonly memory?: Pick<MemoryBudget, 'reserve'>;
  /** Maximum number of requests in progress, further ones are refused; no limit if absent. */
  readonly maxRunning?: number;
}

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 65_000,
};
/** Maximum number of requests of one connection that are in progress at the same time. */
const MAX_RUNNING_PER_CONNECTION = 32;
/** Maximum number of requests of one connection that wait for those. */
const MAX_WAITING_PER_CONNECTION = 256;
/** Maximum number of waiting requests of all connections together. */
const MAX_WAITING_REQUESTS = 1_000;
const EXCESS_MESSAGE = `the entry or the connection has too many requests in progress, or the connection has over ${MAX_WAITING_PER_CONNECTION} that wait, or all together over ${MAX_WAITING_REQUESTS}`;
const RETRY_AFTER_SECONDS = 1;
/** Code of the error with which Node.js reports a request that is late. */
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** The requests of a connection that sends them without waiting for responses. */
interface RequestQueue {
  running: number;
  /**
   * Whether the next request has to wait until the head of the response to the last one that
   * started tells that the connection stays open. One that ran behind a response that closes the
   * connection could not be answered.
   */
  awaitsHead: boolean;
  /** Start the requests that wait for those that run, in order. */
  waiting: Array<() => void>;
  /** Whether the connection closes because it brought too many. */
  isClosing: boolean;
}

/** HTTP server for callers' connections. */
export class CallerServer {
  readonly server: http.Server;
  /** Responses that are not finished yet, by connection. */
  private readonly pendingResponses = new WeakMap<
    Socket,
    Set<http.ServerResponse>
  >();

  /** Connections that close after a response because malformed HTTP or a late request follows its request. */
  private readonly endingConnections = new WeakSet<Socket>();
  private readonly queues = new WeakMap<Socket, RequestQueue>();
  /** Connections that have brought no request yet, and when they arrived. */
  private readonly newConnections = new WeakMap<
    Socket,
    {readonly arrivedAt: number; readonly turn: number}
  >();

  /** Number of requests that wait for others of their connection. */
  private waitingCount = 0;
  /** Number of requests in progress. */
  private runningCount = 0;
  private readonly guard: ConnectionGuard;
  private connectionLimit: number | undefined;

  constructor(private readonly options: CallerServerOptions) {
    const limits = options.limits ?? DEFAULT_LIMITS;
    this.guard = new ConnectionGuard({
      maxConnections: () => this.connectionLimit,
      memory: options.memory,
      onClosed: reason => options.onConnectionClosed?.(reason),
      refuse: (request, response) =>
        refuse(request, response, 'the entry lacks the memory for the headers'),
    });
    this.server = options.createServer(
      {
        ...this.guard.serverOptions,
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        keepAliveTimeout: limits.idleTimeoutMs,
      },
      this.guard.wrap((request, response) =>
        this.handleRequest(request, response),
      ),
    );
    // Node.js drops all fields after the 1,000th by default; the size of the headers bounds them.
    this.server.maxHeadersCount = 0;
    this.guard.watch(this.server);
    this.limitConnections(limits.maxHeaderBytes);
    this.server.on('connection', (socket: Socket) =>
      this.recordConnection(socket),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.refuseConnection(error, socket as Socket),
    );
  }

  /** Maximum number of connections; undefined without a limit. */
  get maxConnections(): number | undefined {
    return this.connectionLimit;
  }

  /** Applies new limits; that on headers holds for new connections. */
  setLimits(limits: CallerLimits): void {
    const server: http.Server & {maxHeaderSize?: number} = this.server;
    server.maxHeaderSize = limits.maxHeaderBytes;
    this.limitConnections(limits.maxHeaderBytes);
    this.server.headersTimeout = limits.headersTimeoutMs;
    this.server.requestTimeout = limits.requestTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  private limitConnections(maxHeaderBytes: number): void {
    this.connectionLimit = this.options.maxConnections?.(maxHeaderBytes);
  }

  /**
   * Stops accepting connections and resolves once all running requests have
   * ended and their responses were sent.
   */
  async close(): Promise<void> {
    await closeServer(this.server);
  }

  private recordConnection(socket: Socket): void {
    const {clock} = this.options;
    const arrivedAt = clock.earliestArrival(performance.now());
    this.newConnections.set(socket, {arrivedAt, turn: clock.turns});
  }

  /** Earliest time at which a request that is read now may have arrived, in milliseconds. */
  private arrivalTime(socket: Socket): number {
    const {clock} = this.options;
    const now = performance.now();
    const connection = this.newConnections.get(socket);
    this.newConnections.delete(socket);
    // A request that came with its connection is read a turn after it was accepted.
    return connection !== undefined && clock.turns - connection.turn <= 1
      ? Math.min(connection.arrivedAt, clock.earliestArrival(now))
      : clock.earliestArrival(now);
  }

  private handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const arrivedAt = this.arrivalTime(request.socket);
    if (this.options.isDraining()) {
      response.setHeader('connection', 'close');
      stopParsing(request.socket);
    }
    if (request.url === this.options.readinessPath) {
      response.statusCode = this.options.isDraining() ? 503 : 200;
      response.end(this.options.isDraining() ? 'not ready\n' : 'ready\n');
      return;
    }
    const {socket} = request;
    const pending = this.pendingResponses.get(socket) ?? new Set();
    this.pendingResponses.set(socket, pending.add(response));
    const queue = this.queueOf(socket);
    const start = () => {
      queue.running += 1;
      queue.awaitsHead = true;
      onResponseHead(response, keepsConnection => {
        queue.awaitsHead = !keepsConnection;
        this.startNext(socket, queue);
      });
      this.serve(request, response, arrivedAt);
    };
    response.on('close', () => {
      pending.delete(response);
      queue.running -= 1;
      this.startNext(socket, queue);
    });
    if (canStart(queue) && queue.waiting.length === 0) {
      start();
    } else {
      this.enqueue(request, response, queue, start);
    }
  }

  /** Whether a further request may run; it counts until its response ends. */
  private beginRunning(response: http.ServerResponse): boolean {
    const {maxRunning = Infinity} = this.options;
    if (this.runningCount >= maxRunning) {
      return false;
    }
    this.runningCount += 1;
    onResponseEnd(response, () => (this.runningCount -= 1));
    return true;
  }

  private serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    arrivedAt: number,
  ): void {
    const {handle, onFault} = this.options;
    if (!this.beginRunning(response)) {
      this.refuseExcess(request, response);
      return;
    }
    const guarded = guard(handle, {
      onFault: fault => {
        response.destroy();
        onFault(fault);
      },
    });
    guarded(request, response, arrivedAt);
  }

  private queueOf(socket: Socket): RequestQueue {
    const known = this.queues.get(socket);
    if (known !== undefined) {
      return known;
    }
    const queue: RequestQueue = {
      running: 0,
      awaitsHead: false,
      waiting: [],
      isClosing: false,
    };
    this.queues.set(socket, queue);
    socket.once('close', () => {
      this.waitingCount -= queue.waiting.length;
      queue.waiting = [];
    });
    return queue;
  }

  private enqueue(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    queue: RequestQueue,
    start: () => void,
  ): void {
    const isFull =
      queue.waiting.length >= MAX_WAITING_PER_CONNECTION ||
      this.waitingCount >= MAX_WAITING_REQUESTS;
    if (isFull || queue.isClosing) {
      queue.isClosing = true;
      queue.running += 1;
      this.refuseExcess(request, response);
      return;
    }
    this.waitingCount += 1;
    queue.waiting.push(start);
  }

  private startNext(socket: Socket, queue: RequestQueue): void {
    const mayStart = !socket.destroyed && canStart(queue);
    const start = mayStart ? queue.waiting.shift() : undefined;
    if (start !== undefined) {
      this.waitingCount -= 1;
      start();
    }
  }

  private refuseExcess(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    this.options.onConnectionClosed?.('pipelined');
    refuse(request, response, EXCESS_MESSAGE);
  }

  /**
   * Responds to malformed HTTP and to requests that time out, unless another
   * response is still being sent on the connection. Requests before malformed
   * HTTP or a late request are answered first.
   */
  private refuseConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    const pending = [...(this.pendingResponses.get(socket) ?? [])];
    const canRespond =
      pending.length === 0 ||
      (pending.length === 1 && isRequestArriving(pending[0]));
    const last = pending.filter(each => !isRequestArriving(each)).at(-1);
    const endsWithLast = isMalformed(error) || error.code === REQUEST_TIMEOUT;
    if (last !== undefined && endsWithLast && !socket.readableEnded) {
      stopParsing(socket);
      this.closeAfter(last, socket);
      return;
    }
    if (canRespond && socket.writable) {
      socket.end(formatClientErrorResponse(error.code ?? ''));
    }
    socket.destroySoon();
  }

  private closeAfter(response: http.ServerResponse, socket: Socket): void {
    if (!this.endingConnections.has(socket)) {
      this.endingConnections.add(socket);
      response.once('close', () => socket.destroySoon());
    }
  }
}

/** Whether a further request of a connection may start. */
function canStart({awaitsHead, running}: RequestQueue): boolean {
  return !awaitsHead && running < MAX_RUNNING_PER_CONNECTION;
}

/**
 * Refuses a request as not run. Its connection closes after the response, and nothing behind it
 * on the connection runs either (RFC 9112, 9.6).
 */
function refuse(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  message: string,
): void {
  stopParsing(request.socket);
  discardRest(request, true);
  const body = JSON.stringify({
    error: {message, reason: 'entry_full', outcome: 'not-run'},
  });
  response.writeHead(503, {
    connection: 'close',
    'retry-after': String(RETRY_AFTER_SECONDS),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Whether the parser, which reads nothing more after that, found malformed HTTP. */
function isMalformed({code = ''}: NodeJS.ErrnoException): boolean {
  return code.startsWith('HPE_');
}

/** Whether the request is still being received, so that it has not run. */
function isRequestArriving({req, headersSent}: http.ServerResponse): boolean {
  return !req.complete && !headersSent;
}
