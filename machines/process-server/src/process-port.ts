import type http from 'node:http';
import {
  listenWhenFree,
  type Address,
  type PortListener,
} from '@marigoldspur/http-link';
import type {LinkSecurity} from '@marigoldspur/link-security';

const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const STATUS_UNAVAILABLE = 503;

/** The port of a process for other processes and operators. */
export class ProcessPort {
  private constructor(
    readonly server: http.Server,
    /** Address with the port that was selected. */
    readonly address: Address,
    /** Passes all requests from now on to a handler. */
    readonly serve: (handler: http.RequestListener) => void,
  ) {}

  /** Opens the port as soon as it is free; requests are refused until it serves. */
  static async open(
    address: Address,
    security: LinkSecurity,
    listener: PortListener,
  ): Promise<ProcessPort> {
    let handler: http.RequestListener = refuse;
    const server = security.createServer({}, (request, response) =>
      handler(request, response),
    );
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.requestTimeout = 0;
    const opened = await listenWhenFree(server, address, listener);
    return new ProcessPort(server, opened, next => {
      handler = next;
    });
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
