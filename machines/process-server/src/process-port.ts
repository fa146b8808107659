import type http from 'node:http';
import {
  ConnectionGuard,
  type CloseReason,
} from '@marigoldspur/connection-guard';
import {
  listenWhenFree,
  type Address,
  type PortListener,
} from '@marigoldspur/http-link';
import type {LinkSecurity} from '@marigoldspur/link-security';
import type {MemoryBudget} from '@marigoldspur/memory-budget';

const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const STATUS_UNAVAILABLE = 503;
/** Maximum number of requests of a connection without a response; processes send one at a time. */
const MAX_PIPELINED = 32;

/** Limits on the connections to a port; none where absent. */
export interface PortLimits {
  readonly maxConnections?: number;
  /** Limits the memory for the headers of requests. */
  readonly memory?: Pick<MemoryBudget, 'reserve'>;
  /** Called when a limit closes a connection. */
  readonly onClosed?: (reason: CloseReason) => void;
}

/** The port of a process for other processes and operators. */
export class ProcessPort {
  private constructor(
    readonly server: http.Server,
    /** Address with the port that was selected. */
    readonly address: Address,
    /** Passes all requests from now on to a handler. */
    readonly serve: (handler: http.RequestListener) => void,
    /** Sets the limits, which are known once the process has its memory budget. */
    readonly setLimits: (limits: PortLimits) => void,
  ) {}

  /** Opens the port as soon as it is free; requests are refused until it serves. */
  static async open(
    address: Address,
    security: LinkSecurity,
    listener: PortListener,
  ): Promise<ProcessPort> {
    let handler: http.RequestListener = refuse;
    let limits: PortLimits = {};
    const guard = new ConnectionGuard({
      maxPipelined: MAX_PIPELINED,
      maxConnections: () => limits.maxConnections,
      get memory() {
        return limits.memory;
      },
      onClosed: reason => limits.onClosed?.(reason),
      isTrusted: true,
    });
    const server = security.createServer(
      guard.serverOptions,
      guard.wrap((request, response) => handler(request, response)),
    );
    guard.watch(server);
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.requestTimeout = 0;
    const opened = await listenWhenFree(server, address, listener);
    return new ProcessPort(
      server,
      opened,
      next => {
        handler = next;
      },
      next => {
        limits = next;
      },
    );
  }
}

function refuse(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.statusCode = STATUS_UNAVAILABLE;
  response.setHeader('connection', 'close');
  response.end('the process is starting\n');
}
