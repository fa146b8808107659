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

/** Waits until some checks saw the readiness. */
async function sees(state: typeof readiness): Promise<void> {
  readiness = state;
  const seen = checks + 5;
  while (checks < seen) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

async function isServed(): Promise<boolean> {
  const answer = await fetch(balancer.url, {
    headers: {connection: 'close'},
  }).catch(() => undefined);
  return (await answer?.text()) === 'served';
}

it('balancer: entries that are all slow still get callers, until one says it is not ready', async () => {
  await sees('ready');
  expect(await isServed()).to.equal(true);
  await sees('silent');
  expect(await isServed()).to.equal(true);
  await sees('not ready');
  expect(await isServed()).to.equal(false);
  await sees('ready');
  expect(await isServed()).to.equal(true);
});
