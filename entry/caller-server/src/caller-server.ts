import type http from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {closeServer} from '@marigoldspur/http-link';
import {formatClientErrorResponse} from '@marigoldspur/caller-api';

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  /** Longest time until the head of a request has come, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** Longest time until a whole request has come, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Longest time that a connection stays open unused, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** What a caller server works with. */
export interface CallerServerOptions {
  /** Serves one request. */
  readonly handle: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => Promise<void>;
  /** Whether the process shuts down. */
  readonly isDraining: () => boolean;
  readonly createServer: (
    options: http.ServerOptions,
    handler: http.RequestListener,
  ) => http.Server;
  /** Path at which the server itself tells whether the process takes calls, if it does. */
  readonly readinessPath?: string;
  readonly limits?: CallerLimits;
}

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 65_000,
};
const TIMEOUT_CHECK_MS = 1_000;
const CLOSE_IDLE_MS = 50;

/** The server of callers' connections. */
export class CallerServer {
  readonly server: http.Server;
  /** Answers that are due on each connection. */
  private readonly answering = new WeakMap<Socket, Set<http.ServerResponse>>();

  constructor(private readonly options: CallerServerOptions) {
    const limits = options.limits ?? DEFAULT_LIMITS;
    this.server = options.createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        keepAliveTimeout: limits.idleTimeoutMs,
      },
      (request, response) => this.take(request, response),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.refuseConnection(error, socket as Socket),
    );
  }

  /** Takes over other limits, but for that of the headers' size, which is fixed. */
  setLimits(limits: Omit<CallerLimits, 'maxHeaderBytes'>): void {
    this.server.headersTimeout = limits.headersTimeoutMs;
    this.server.requestTimeout = limits.requestTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Stops accepting and resolves once every running request has ended. */
  async close(): Promise<void> {
    let closed = false;
    const ended = closeServer(this.server).then(() => {
      closed = true;
    });
    // A connection whose answer had begun before the shutdown stays open when it ends.
    while (!closed) {
      this.server.closeIdleConnections();
      await Promise.race([ended, pause(CLOSE_IDLE_MS)]);
    }
  }

  private take(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (this.options.isDraining()) {
      response.setHeader('connection', 'close');
    }
    if (request.url === this.options.readinessPath) {
      response.statusCode = this.options.isDraining() ? 503 : 200;
      response.end(this.options.isDraining() ? 'not ready\n' : 'ready\n');
      return;
    }
    const {socket} = request;
    const due = this.answering.get(socket) ?? new Set();
    this.answering.set(socket, due.add(response));
    response.on('close', () => due.delete(response));
    void this.options.handle(request, response);
  }

  /**
   * Answers what is not HTTP and what does not arrive in time, where no other answer is
   * on its way on the connection.
   */
  private refuseConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    const due = [...(this.answering.get(socket) ?? [])];
    const isFree = due.length === 0 || (due.length === 1 && isArriving(due[0]));
    if (isFree && socket.writable) {
      socket.end(formatClientErrorResponse(error.code ?? ''));
    }
    socket.destroySoon();
  }
}

/** Whether the request of an answer is still on its way, so that it did not run. */
function isArriving({req, headersSent}: http.ServerResponse): boolean {
  return !req.complete && !headersSent;
}
