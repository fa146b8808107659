import {expect} from 'chai';
import {
  startPlainService,
  type ServiceFaults,
  type StandIn,
} from '@marigoldspur/stand-ins';
import {ServiceMonitor} from '../src/service-monitor.js';

const INTERVAL_MS = 10;

let service: StandIn;
let watch: ServiceMonitor;

beforeEach(async () => {
  service = await startPlainService({port: 0, callMs: 0});
});

afterEach(async () => {
  watch.stop();
  await service.stop();
});

async function faults(changes: Partial<ServiceFaults>): Promise<void> {
  const body = JSON.stringify(changes);
  await fetch(`${service.url}/faults`, {method: 'POST', body});
}

/** Starts a watch; each call of the returned function resolves with the next change. */
function start(healthPath: string | undefined): () => Promise<boolean> {
  const seen: boolean[] = [];
  let wake = () => {};
  watch = new ServiceMonitor({
    url: service.url,
    healthPath: () => healthPath,
    changed: () => {
      seen.push(watch.healthy);
      wake();
    },
  });
  watch.start(INTERVAL_MS);
  return async () => {
    while (seen.length === 0) {
      await new Promise<void>(resolve => (wake = resolve));
    }
    return seen.shift()!;
  };
}

it('service watch: a health path that answers 503 makes the service unhealthy', async () => {
  const next = start('/health');
  expect(await next()).to.equal(true);
  await faults({unhealthy: true});
  expect(await next()).to.equal(false);
  await faults({});
  expect(await next()).to.equal(true);
});

it('service watch: a frozen service is unhealthy by its health path', async () => {
  const next = start('/health');
  expect(await next()).to.equal(true);
  await faults({freeze: true});
  expect(await next()).to.equal(false);
});

it('service watch: without a health path a connection is enough', async () => {
  await faults({unhealthy: true});
  const next = start(undefined);
  expect(await next()).to.equal(true);
  await service.stop();
  expect(await next()).to.equal(false);
});
