import http from 'node:http';
import {expect} from 'chai';
import {
  sendAttempt,
  startEngineSystem,
  type AttemptResponse,
  type EngineSystem,
} from '@marigoldspur/agent-system-tests';
import {openPartitionProxy} from '@marigoldspur/partition-proxy';

const POLL_MS = 20;
const WAIT_MS = 40_000;
const ORDER_LEASE_MS = 1_500;
let system: EngineSystem;
let requestCount = 0;

afterEach(() => system.stop());

function startSystem(isFenceChecked: boolean): Promise<EngineSystem> {
  return startEngineSystem({
    slots: 1,
    batchLimit: 8,
    tokenMs: 20,
    loadsPerSecond: 50,
    isFenceChecked,
    adapters: 4,
  });
}

function send(
  url: string,
  model: string,
  options: {tokens?: number; budgetMs?: number; onFirstByte?: () => void} = {},
): Promise<AttemptResponse | undefined> {
  requestCount += 1;
  return sendAttempt({
    url,
    model,
    request: `process-${requestCount}`,
    tokens: options.tokens ?? 1,
    isStreamed: true,
    agent: new http.Agent(),
    budgetMs: options.budgetMs,
    onFirstByte: options.onFirstByte,
  }).catch(() => undefined);
}

/** Sends attempts until one gets a complete response with status 200. */
async function waitUntilServed(url: string, model: string): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (performance.now() < deadline) {
    const response = await send(url, model, {budgetMs: 5_000});
    if (response?.isComplete === true && response.status === 200) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`timed out before ${model} was served`);
}

/** Starts a stream; resolves when its first data arrives. */
async function startStream(url: string, model: string, tokens: number) {
  let response: Promise<AttemptResponse | undefined> =
    Promise.resolve(undefined);
  await new Promise<void>(onFirstByte => {
    response = send(url, model, {tokens, onFirstByte});
  });
  return {response};
}

/** Acquires the only load permit; `release` returns it. */
async function acquirePermit() {
  const {control, getDeadline} = system.session;
  const permitRequest = {
    store: 'callao-store',
    agent: 'test',
    model: 'none@v1',
    waiters: 1,
    priority: 0,
    oldestWaitMs: 0,
    waitMs: 10_000,
  };
  const result = await control.call(
    replica => replica.acquirePermit.mutate(permitRequest),
    getDeadline(),
  );
  const permit = result.map(value => value.permit).unwrapOr(undefined) ?? '';
  return {
    release: () =>
      control.call(
        replica => replica.releasePermit.mutate({permit, loaded: false}),
        getDeadline(),
      ),
  };
}

async function fetchEvictionsInUse(): Promise<string[]> {
  const orders = await system.fetchOrderRecords();
  return orders
    .filter(order => order.evictedInUse)
    .map(order => `${order.order} ${order.model} by ${order.fence}`);
}

for (const isFenceChecked of [true, false]) {
  const engine = isFenceChecked
    ? 'an engine that checks fencing numbers'
    : 'an engine that ignores fencing numbers';

  it(`agent processes: after an agent is killed during a stream, its successor evicts no adapter in use from ${engine}`, async () => {
    system = await startSystem(isFenceChecked);
    const first = await system.startAgent();
    await waitUntilServed(first.url, 'callao-0@v1');
    await system.setFaults({lateCancelMs: 1_500});
    const stream = await startStream(first.url, 'callao-0@v1', 500);
    first.child.signal('SIGKILL');
    await first.child.ended;
    const second = await system.startAgent();
    await waitUntilServed(second.url, 'callao-1@v1');
    expect((await stream.response)?.isComplete ?? false).to.equal(false);
    expect(await fetchEvictionsInUse()).to.deep.equal([]);
    const orders = await system.fetchOrderRecords();
    expect(orders.some(order => order.order === 'unload')).to.equal(true);
  });

  it(`agent processes: a paused agent that resumes with a load permit unloads nothing from ${engine}`, async () => {
    system = await startSystem(isFenceChecked);
    const first = await system.startAgent();
    await waitUntilServed(first.url, 'callao-0@v1');
    const permit = await acquirePermit();
    const delayedAttempt = send(first.url, 'callao-1@v1', {budgetMs: 20_000});
    await new Promise(resolve => setTimeout(resolve, 300));
    first.child.signal('SIGSTOP');
    const second = await system.startAgent();
    await waitUntilServed(second.url, 'callao-0@v1');
    const stream = await startStream(second.url, 'callao-0@v1', 100);
    await permit.release();
    first.child.signal('SIGCONT');
    const isComplete = (await stream.response)?.isComplete;
    const orders = await system.fetchOrderRecords();
    expect(await fetchEvictionsInUse()).to.deep.equal([]);
    expect(isComplete).to.equal(true);
    const doneUnloads = orders.filter(
      order => order.order === 'unload' && order.outcome === 'done',
    );
    expect(doneUnloads).to.deep.equal([]);
    first.child.signal('SIGKILL');
    await delayedAttempt;
  });
}

it('agent processes: an agent that is cut off from control stops serving before its successor serves, even on an engine that ignores fencing numbers', async () => {
  system = await startSystem(false);
  const link = await openPartitionProxy(
    Number(new URL(system.controlUrl).port),
  );
  const first = await system.startAgent(`http://127.0.0.1:${link.port}`);
  await waitUntilServed(first.url, 'callao-0@v1');
  link.setState({forward: false, backward: false});
  let lastServedByFirstAt = 0;
  let isStopped = false;
  const callFirst = async () => {
    while (!isStopped) {
      const response = await send(first.url, 'callao-0@v1');
      lastServedByFirstAt =
        response?.status === 200 ? performance.now() : lastServedByFirstAt;
    }
  };
  // Calls start at the cut, because the second agent can take as long as a lease to start.
  const calls = callFirst();
  const second = await system.startAgent();
  await waitUntilServed(second.url, 'callao-0@v1');
  const servedBySecondAt = performance.now();
  // Covers the lease of the first agent, in case the second agent did not wait for it to expire.
  await new Promise(resolve => setTimeout(resolve, ORDER_LEASE_MS));
  isStopped = true;
  await calls;
  expect(lastServedByFirstAt).to.be.above(0);
  expect(lastServedByFirstAt).to.be.below(servedBySecondAt);
  await waitUntilServed(second.url, 'callao-1@v1');
  expect(await fetchEvictionsInUse()).to.deep.equal([]);
  await link.close();
});

it('agent processes: an agent that gets SIGTERM during a stream completes it and exits with 0', async () => {
  system = await startSystem(true);
  const agent = await system.startAgent();
  await waitUntilServed(agent.url, 'callao-0@v1');
  const stream = await startStream(agent.url, 'callao-0@v1', 150);
  agent.child.signal('SIGTERM');
  expect((await stream.response)?.isComplete).to.equal(true);
  expect(await agent.child.ended).to.equal(0);
});
