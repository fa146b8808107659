import http from 'node:http';
import {expect} from 'chai';
import {
  sendAttempt,
  startEngineSystem,
  type AttemptAnswer,
  type EngineSystem,
} from '@marigoldspur/agent-lab';
import {openCutLink} from '@marigoldspur/cut-link';

const POLL_MS = 20;
const WAIT_MS = 40_000;
const ORDER_LEASE_MS = 1_500;
let system: EngineSystem;
let requests = 0;

afterEach(() => system.stop());

function start(fenceChecked: boolean): Promise<EngineSystem> {
  return startEngineSystem({
    slots: 1,
    batchLimit: 8,
    tokenMs: 20,
    loadsPerSecond: 50,
    fenceChecked,
    adapters: 4,
  });
}

function send(
  url: string,
  model: string,
  options: {tokens?: number; budgetMs?: number; begun?: () => void} = {},
): Promise<AttemptAnswer | undefined> {
  requests += 1;
  return sendAttempt({
    url,
    model,
    request: `process-${requests}`,
    tokens: options.tokens ?? 1,
    stream: true,
    agent: new http.Agent(),
    budgetMs: options.budgetMs,
    begun: options.begun,
  }).catch(() => undefined);
}

/** Sends until the attempt is answered whole. */
async function served(url: string, model: string): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (performance.now() < deadline) {
    const answer = await send(url, model, {budgetMs: 5_000});
    if (answer?.whole === true && answer.status === 200) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`${model} was never answered`);
}

/** Starts a stream; resolves once it has begun. */
async function begin(url: string, model: string, tokens: number) {
  let answer: Promise<AttemptAnswer | undefined> = Promise.resolve(undefined);
  await new Promise<void>(begun => {
    answer = send(url, model, {tokens, begun});
  });
  return {answer};
}

/** Takes the only load permit; `release` gives it back. */
async function takePermit() {
  const {control, deadline} = system.session;
  const ask = {
    store: 'callao-store',
    agent: 'test',
    model: 'none@v1',
    waiters: 1,
    priority: 0,
    oldestWaitMs: 0,
    waitMs: 10_000,
  };
  const taken = await control.call(
    replica => replica.acquirePermit.mutate(ask),
    deadline(),
  );
  const permit = taken.map(value => value.permit).unwrapOr(undefined) ?? '';
  return {
    release: () =>
      control.call(
        replica => replica.releasePermit.mutate({permit, loaded: false}),
        deadline(),
      ),
  };
}

async function evictedInUse(): Promise<string[]> {
  const orders = await system.orders();
  return orders
    .filter(order => order.evictedInUse)
    .map(order => `${order.order} ${order.model} by ${order.fence}`);
}

for (const fenceChecked of [true, false]) {
  const name = fenceChecked ? 'checks' : 'ignores';

  it(`processes: an agent killed under a stream, engine ${name} fencing numbers`, async () => {
    system = await start(fenceChecked);
    const first = await system.startAgent();
    await served(first.url, 'callao-0@v1');
    await system.faults({lateCancelMs: 1_500});
    const stream = await begin(first.url, 'callao-0@v1', 500);
    first.child.signal('SIGKILL');
    await first.child.ended;
    const second = await system.startAgent();
    await served(second.url, 'callao-1@v1');
    expect((await stream.answer)?.whole ?? false).to.equal(false);
    expect(await evictedInUse()).to.deep.equal([]);
    const orders = await system.orders();
    expect(orders.some(order => order.order === 'unload')).to.equal(true);
  });

  it(`processes: an agent that thaws with a permit, engine ${name} fencing numbers`, async () => {
    system = await start(fenceChecked);
    const first = await system.startAgent();
    await served(first.url, 'callao-0@v1');
    const permit = await takePermit();
    const late = send(first.url, 'callao-1@v1', {budgetMs: 20_000});
    await new Promise(resolve => setTimeout(resolve, 300));
    first.child.signal('SIGSTOP');
    const second = await system.startAgent();
    await served(second.url, 'callao-0@v1');
    const stream = await begin(second.url, 'callao-0@v1', 100);
    await permit.release();
    first.child.signal('SIGCONT');
    const whole = (await stream.answer)?.whole;
    const orders = await system.orders();
    expect(await evictedInUse()).to.deep.equal([]);
    expect(whole).to.equal(true);
    const taken = orders.filter(
      order => order.order === 'unload' && order.outcome === 'done',
    );
    expect(taken).to.deep.equal([]);
    first.child.signal('SIGKILL');
    await late;
  });
}

it('processes: an agent cut off from control serves no more once the next one does, engine ignores fencing numbers', async () => {
  system = await start(false);
  const link = await openCutLink(Number(new URL(system.controlUrl).port));
  const first = await system.startAgent(`http://127.0.0.1:${link.port}`);
  await served(first.url, 'callao-0@v1');
  link.set({forward: false, backward: false});
  let lastOfFirst = 0;
  let isOver = false;
  const callsOfFirst = async () => {
    while (!isOver) {
      const answer = await send(first.url, 'callao-0@v1');
      lastOfFirst = answer?.status === 200 ? performance.now() : lastOfFirst;
    }
  };
  // From the cut on: the start of another agent may take as long as the lease.
  const calling = callsOfFirst();
  const second = await system.startAgent();
  await served(second.url, 'callao-0@v1');
  const servedBySecond = performance.now();
  // Long enough for the lease of the first to end, had the second not waited for it.
  await new Promise(resolve => setTimeout(resolve, ORDER_LEASE_MS));
  isOver = true;
  await calling;
  expect(lastOfFirst).to.be.above(0);
  expect(lastOfFirst).to.be.below(servedBySecond);
  await served(second.url, 'callao-1@v1');
  expect(await evictedInUse()).to.deep.equal([]);
  await link.close();
});

it('processes: SIGTERM under a stream ends it whole and exits with 0', async () => {
  system = await start(true);
  const agent = await system.startAgent();
  await served(agent.url, 'callao-0@v1');
  const stream = await begin(agent.url, 'callao-0@v1', 150);
  agent.child.signal('SIGTERM');
  expect((await stream.answer)?.whole).to.equal(true);
  expect(await agent.child.ended).to.equal(0);
});
