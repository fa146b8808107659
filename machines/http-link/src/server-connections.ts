import {subscribe} from 'node:diagnostics_channel';
import http from 'node:http';
import https from 'node:https';
import type {Server, Socket} from 'node:net';
import {onResponseEnd} from './on-response-end.js';

interface ConnectionState {
  /** Requests whose responses have not been sent completely. */
  openCount: number;
  latestRequest: http.IncomingMessage;
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
 * The connections of a server that have brought requests. Node.js itself counts a connection as
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

  /** Records that a request has arrived. */
  recordRequest({request, response, socket}: RequestStart): void {
    const state = this.stateOf(socket, request);
    state.openCount += 1;
    state.latestRequest = request;
    request.once('end', () => (state.bytesRead = socket.bytesRead));
    onResponseEnd(response, () => {
      state.openCount -= 1;
      state.bytesRead = socket.bytesRead;
      if (this.isClosing) {
        this.closeIfIdle(socket);
      }
    });
  }

  private stateOf(
    socket: Socket,
    latestRequest: http.IncomingMessage,
  ): ConnectionState {
    const known = this.states.get(socket);
    if (known !== undefined) {
      return known;
    }
    const state = {openCount: 0, latestRequest, bytesRead: 0};
    this.states.set(socket, state);
    socket.once('close', () => this.states.delete(socket));
    return state;
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
  {bytesRead, latestRequest, openCount}: ConnectionState,
): boolean {
  return (
    openCount === 0 &&
    latestRequest.complete &&
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
  trackedServers.set(server, new ServerConnections());
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
