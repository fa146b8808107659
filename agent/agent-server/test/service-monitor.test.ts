import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {expect} from 'chai';
import {
  startPlainService,
  type ServiceFaults,
  type StandIn,
} from '@marigoldspur/stand-ins';
import {ServiceMonitor} from '../src/service-monitor.js';

const INTERVAL_MS = 10;
/** More than the 64 KiB that are read and what the connection holds on its way, in bytes. */
const MAX_SENT_BYTES = 16_777_216;

let service: StandIn;
let monitor: ServiceMonitor;

beforeEach(async () => {
  service = await startPlainService({port: 0, callMs: 0});
});

afterEach(async () => {
  monitor.stop();
  await service.stop();
});

async function setFaults(changes: Partial<ServiceFaults>): Promise<void> {
  const body = JSON.stringify(changes);
  await fetch(`${service.url}/faults`, {method: 'POST', body});
}

/**
 * Starts a monitor. Each call of the returned function resolves with the next
 * change.
 */
function start(healthPath: string | undefined): () => Promise<boolean> {
  const seen: boolean[] = [];
  let wake = () => {};
  monitor = new ServiceMonitor({
    url: service.url,
    healthPath: () => healthPath,
    onChange: () => {
      seen.push(monitor.isHealthy);
      wake();
    },
  });
  monitor.start(INTERVAL_MS);
  return async () => {
    while (seen.length === 0) {
      await new Promise<void>(resolve => (wake = resolve));
    }
    return seen.shift()!;
  };
}

it('service monitor: a service whose health path responds with 503 is unhealthy', async () => {
  const next = start('/health');
  expect(await next()).to.equal(true);
  await setFaults({unhealthy: true});
  expect(await next()).to.equal(false);
  await setFaults({});
  expect(await next()).to.equal(true);
});

it('service monitor: a frozen service with a health path is unhealthy', async () => {
  const next = start('/health');
  expect(await next()).to.equal(true);
  await setFaults({freeze: true});
  expect(await next()).to.equal(false);
});

it('service monitor: without a health path a connection is sufficient', async () => {
  await setFaults({unhealthy: true});
  const next = start(undefined);
  expect(await next()).to.equal(true);
  await service.stop();
  expect(await next()).to.equal(false);
});

// Guards against a service that takes the agent's processor for the whole time of a check.
it('service monitor: the connection of a health response without end is closed early', async () => {
  const block = Buffer.alloc(65_536, ' ');
  const endless = http.createServer((_, response) => {
    const repeat = function* () {
      for (;;) {
        yield block;
      }
    };
    Readable.from(repeat()).pipe(response);
  });
  await new Promise<void>(resolve =>
    endless.listen(0, '127.0.0.1', () => resolve()),
  );
  const sent = new Promise<number>(resolve =>
    endless.once('connection', socket => {
      socket.on('error', () => {});
      socket.on('close', () => resolve(socket.bytesWritten));
    }),
  );
  const {port} = endless.address() as AddressInfo;
  monitor = new ServiceMonitor({
    url: `http://127.0.0.1:${port}`,
    healthPath: () => '/health',
    onChange: () => {},
  });
  monitor.start(INTERVAL_MS);
  expect(await sent).to.be.below(MAX_SENT_BYTES);
  monitor.stop();
  endless.closeAllConnections();
  endless.close();
});
