import net from 'node:net';
import {listen} from '@marigoldspur/http-link';

/** Finds ports on loopback that nobody listens on. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => net.createServer());
  const addresses = await Promise.all(
    servers.map(server => listen(server, {host: '127.0.0.1', port: 0})),
  );
  await Promise.all(
    servers.map(
      server => new Promise<void>(resolve => server.close(() => resolve())),
    ),
  );
  return addresses.map(address => address.port);
}
