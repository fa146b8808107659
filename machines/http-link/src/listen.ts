import type {Server} from 'node:net';
import type {AddressInfo} from 'node:net';

/** Address on which a server listens. */
export interface Address {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
}

/** Starts listening; resolves to the address with the port that was selected, and rejects if the server cannot listen there. */
export function listen(server: Server, address: Address): Promise<Address> {
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

/** Stops accepting connections and waits until all open ones have closed. */
export function closeServer(
  server: Server & {closeIdleConnections?: () => void},
): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections?.();
  });
}
