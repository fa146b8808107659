import type http from 'node:http';
import net, {type AddressInfo, type Server} from 'node:net';
import {connectionsOf, trackConnections} from './server-connections.js';

/** Address on which a server listens. */
export interface Address {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
}

/** Starts listening; resolves to the address with the port that was selected, and rejects if the server cannot listen there. */
export function listen(server: Server, address: Address): Promise<Address> {
  trackConnections(server);
  return new Promise((resolve, reject) => {
    const onError = (error: Error) => {
      server.off('listening', onListening);
      reject(error);
    };
    const onListening = () => {
      server.off('error', onError);
      const {port} = server.address() as AddressInfo;
      resolve({host: address.host, port});
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(address.port, address.host);
  });
}

const CLOSE_IDLE_INTERVAL_MS = 50;

/**
 * Stops accepting connections and waits until all open ones have closed. Those of an HTTP server
 * that started with `listen` are closed once they are idle: no request is being read or handled,
 * and all bytes of the responses were sent.
 */
export async function closeServer(server: Server): Promise<void> {
  const connections = connectionsOf(server);
  // A connection on which part of a request arrives becomes idle without another event.
  const timer = setInterval(
    () => connections?.closeIdle(),
    CLOSE_IDLE_INTERVAL_MS,
  ).unref();
  await new Promise<void>(resolve => {
    // `http.Server.close` destroys connections whose responses were ended but not sent.
    net.Server.prototype.close.call(server, () => resolve());
    connections?.closeIdle();
  });
  clearInterval(timer);
}

/**
 * Stops accepting connections and waits until all open ones have closed. After `callsMs`, in
 * milliseconds, closes those on which no ended response is being sent, and after `sendsMs` all.
 */
export async function closeServerWithin(
  server: http.Server,
  {callsMs, sendsMs}: {readonly callsMs: number; readonly sendsMs: number},
): Promise<void> {
  const callsTimer = setTimeout(
    () => connectionsOf(server)?.closeUnlessSending(),
    callsMs,
  );
  const sendsTimer = setTimeout(() => server.closeAllConnections(), sendsMs);
  await closeServer(server);
  clearTimeout(callsTimer);
  clearTimeout(sendsTimer);
}
