import net from 'node:net';
import {expect} from 'chai';
import {findFreePorts, PortAllocator} from '@marigoldspur/lab';

/** First port of the default ephemeral range, from which outgoing connections get their ports. */
const FIRST_EPHEMERAL_PORT = 32_768;

it('ports: no port is returned twice', async () => {
  const ports = [...(await findFreePorts(40)), ...(await findFreePorts(40))];
  expect(new Set(ports).size).to.equal(80);
});

it('ports: a port with a listening server is skipped', async () => {
  const [first] = await findFreePorts(1);
  const server = net.createServer();
  await new Promise<void>(resolve =>
    server.listen(first + 1, '127.0.0.1', resolve),
  );
  const ports = await findFreePorts(3);
  await new Promise(resolve => server.close(resolve));
  expect(ports).not.to.include(first + 1);
});

it('ports: all ports are below the ephemeral range of outgoing connections', async () => {
  const ports = await findFreePorts(100);
  expect(Math.max(...ports)).to.be.below(FIRST_EPHEMERAL_PORT);
});

it('ports: two allocators that start at the same block return different ports', async () => {
  const firstBlock = process.pid % 200;
  const first = await new PortAllocator(firstBlock).allocate(150);
  const second = await new PortAllocator(firstBlock).allocate(150);
  expect(new Set([...first, ...second]).size).to.equal(300);
});
