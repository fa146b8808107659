import http from 'node:http';
import {listen} from '@marigoldspur/http-link';

/** A running stand-in. */
export interface StandIn {
  /** Base URL on loopback. */
  readonly url: string;
  /** Stops listening; the HTTP stand-ins also close their connections. */
  stop(): Promise<void>;
}

/** Starts the HTTP server of a stand-in on loopback. */
export async function serveStandIn(
  port: number,
  handler: http.RequestListener,
): Promise<StandIn> {
  const server = http.createServer(handler);
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  const address = await listen(server, {host: '127.0.0.1', port});
  return {
    url: `http://${address.host}:${address.port}`,
    stop: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Sends a JSON response. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
