import http from 'node:http';
import {expect} from 'chai';
import {closeServer, listen} from '@marigoldspur/http-link';
import {startBalancer, type StandIn} from '@marigoldspur/stand-ins';

const CHECK_MS = 100;
const POLL_MS = 5;

let entry: http.Server;
let balancer: StandIn;
let checks = 0;
let readiness: 'ready' | 'silent' | 'not ready' = 'ready';

before(async () => {
  entry = http.createServer((request, response) => {
    if (request.url !== '/readyz') {
      response.end('served');
      return;
    }
    checks += 1;
    if (readiness !== 'silent') {
      response.statusCode = readiness === 'ready' ? 200 : 503;
      response.end();
    }
  });
  const {port} = await listen(entry, {host: '127.0.0.1', port: 0});
  const entries = [`http://127.0.0.1:${port}`];
  balancer = await startBalancer({port: 0, entries, checkMs: CHECK_MS});
});

after(async () => {
  await balancer.stop();
  entry.closeAllConnections();
  await closeServer(entry);
});

/** Sets the readiness of the entry and waits until the balancer has checked it 5 times. */
async function setReadiness(state: typeof readiness): Promise<void> {
  readiness = state;
  const expectedChecks = checks + 5;
  while (checks < expectedChecks) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

async function isServed(): Promise<boolean> {
  const response = await fetch(balancer.url, {
    headers: {connection: 'close'},
  }).catch(() => undefined);
  return (await response?.text()) === 'served';
}

it('balancer: unresponsive entries still receive connections until they report that they are not ready', async () => {
  await setReadiness('ready');
  expect(await isServed()).to.equal(true);
  await setReadiness('silent');
  expect(await isServed()).to.equal(true);
  await setReadiness('not ready');
  expect(await isServed()).to.equal(false);
  await setReadiness('ready');
  expect(await isServed()).to.equal(true);
});
