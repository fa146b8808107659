import {subscribe} from 'node:diagnostics_channel';
import http from 'node:http';
import https from 'node:https';
import type {Server, Socket} from 'node:net';
import tls from 'node:tls';
import {onResponseEnd} from './on-response-end.js';

interface ConnectionState {
  /** Responses that have not been sent completely. */
  readonly open: Set<http.ServerResponse>;
  /** Undefined before the first request. */
  latestRequest: http.IncomingMessage | undefined;
  /** Number of bytes read when the latest request or response ended. */
  bytesRead: number;
}

interface RequestStart {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly socket: Socket;
  readonly server: Server;
}

/** Published by Node.js for each request, whatever the event of the server that receives it. */
const REQUEST_START_CHANNEL = 'http.server.request.start';
const trackedServers = new WeakMap<Server, ServerConnections>();
let isSubscribed = false;

/**
 * The connections of a server, and the requests that they have brought. Node.js itself counts a connection as
 * idle once its response was ended, although bytes of it may still wait to be sent.
 */
export class ServerConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  private isClosing = false;

  /** Closes idle connections, and from now on each connection that becomes idle. */
  closeIdle(): void {
    this.isClosing = true;
    this.states.forEach((_, socket) => this.closeIfIdle(socket));
  }

  /** Closes all connections but those on which a response was ended and is still being sent. */
  closeUnlessSending(): void {
    this.states.forEach(({open}, socket) => {
      if (![...open].some(({writableEnded}) => writableEnded)) {
        socket.destroy();
      }
    });
  }

  /** Records a new connection. */
  add(socket: Socket): void {
    // Each request in progress listens to its connection; servers limit their number.
    socket.setMaxListeners(0);
    this.states.set(socket, {
      open: new Set(),
      latestRequest: undefined,
      bytesRead: 0,
    });
    socket.once('close', () => this.states.delete(socket));
  }

  /** Records that a request has arrived. */
  recordRequest({request, response, socket}: RequestStart): void {
    const state = this.states.get(socket);
    if (state === undefined) {
      return;
    }
    state.open.add(response);
    state.latestRequest = request;
    request.once('end', () => (state.bytesRead = socket.bytesRead));
    onResponseEnd(response, () => {
      state.open.delete(response);
      state.bytesRead = socket.bytesRead;
      if (this.isClosing) {
        this.closeIfIdle(socket);
      }
    });
  }

  private closeIfIdle(socket: Socket): void {
    const state = this.states.get(socket);
    if (state !== undefined && isIdle(socket, state)) {
      socket.destroySoon();
    }
  }
}

/** Whether all bytes of the responses were sent, and nothing of a further request has arrived. */
function isIdle(
  socket: Socket,
  {bytesRead, latestRequest, open}: ConnectionState,
): boolean {
  return (
    open.size === 0 &&
    latestRequest?.complete === true &&
    socket.bytesRead === bytesRead &&
    socket.writableLength === 0
  );
}

/** Starts tracking the connections of a server; servers without HTTP are left alone. */
export function trackConnections(server: Server): void {
  const isHttp =
    server instanceof http.Server || server instanceof https.Server;
  if (!isHttp || trackedServers.has(server)) {
    return;
  }
  const connections = new ServerConnections();
  trackedServers.set(server, connections);
  // Requests come over the sockets of these events.
  const event =
    server instanceof tls.Server ? 'secureConnection' : 'connection';
  server.on(event, (socket: Socket) => connections.add(socket));
  if (!isSubscribed) {
    isSubscribed = true;
    subscribe(REQUEST_START_CHANNEL, message => {
      const start = message as RequestStart;
      trackedServers.get(start.server)?.recordRequest(start);
    });
  }
}

/** Returns the connections of a server that is tracked. */
export function connectionsOf(server: Server): ServerConnections | undefined {
  return trackedServers.get(server);
}
