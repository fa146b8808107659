import type {Server} from 'node:net';
import type {AddressInfo} from 'node:net';

/** Where a server listens. */
export interface Address {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
}

/** Starts listening; the answer names the port that was taken. */
export function listen(server: Server, address: Address): Promise<Address> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      const {port} = server.address() as AddressInfo;
      resolve({host: address.host, port});
    });
  });
}

/** Stops accepting and waits until each connection has ended. */
export function closeServer(
  server: Server & {closeIdleConnections?: () => void},
): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections?.();
  });
}
