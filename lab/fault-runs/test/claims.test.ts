import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';
import type {SettingsTree} from '@marigoldspur/settings-schema';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 1},
    {service: 'chart-api', kind: 'service', count: 2},
    {service: 'chart-brief', kind: 'service', count: 1},
  ],
  loadsPerSecond: 50,
} as const;
const CALL_MS = 2_000;
const RETENTION_MS = 6_000;

interface Reply {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  readonly code: unknown;
  readonly outcome: unknown;
}

let system: System;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: withShortRetention(createDeploymentTree([DEPLOYMENT], 2)),
    controls: 1,
    entries: 3,
    serviceCallMs: CALL_MS,
  });
  await system.waitUntilSettled();
});

after(() => system?.stop());

/** Sets a short retention of results for one service. */
function withShortRetention(tree: SettingsTree): SettingsTree {
  const {services} = tree.customers[DEPLOYMENT.customer];
  services['chart-brief'].settings.claimRetentionMs = RETENTION_MS;
  return tree;
}

async function send(
  entry: number,
  key: string,
  options: {path?: string; body?: string; signal?: AbortSignal} = {},
): Promise<Reply> {
  const {path = '/chart-api/indication', body = key, signal} = options;
  const answer = await fetch(`${system.entryUrls[entry]}${path}`, {
    method: 'POST',
    body,
    headers: {'idempotency-key': key},
    signal,
  });
  const text = await answer.text();
  const error = text.startsWith('{"error"') ? JSON.parse(text).error : {};
  const {code, outcome} = error as {code: unknown; outcome: unknown};
  return {status: answer.status, headers: answer.headers, text, code, outcome};
}

/** Counts how often the plain services ran a body. */
async function countRuns(body: string): Promise<number> {
  const services = system.targets.filter(pair => pair.name.startsWith('chart'));
  const records = await Promise.all(
    services.map(async pair => (await fetch(`${pair.url}/record`)).json()),
  );
  return (records.flat() as Array<{input: string}>).filter(
    run => run.input === body,
  ).length;
}

/**
 * Resends a request that has just been answered, until its claim has ended. Completion of
 * the claim is committed after the caller has the answer; until then, a resend is refused
 * as running, with Retry-After.
 */
async function sendUntilEnded(
  entry: number,
  key: string,
  options?: Parameters<typeof send>[2],
): Promise<Reply> {
  let reply = await send(entry, key, options);
  while (reply.code === 'already_running') {
    expect(Number(reply.headers.get('retry-after'))).to.be.at.least(1);
    await new Promise(resolve => setTimeout(resolve, 50));
    reply = await send(entry, key, options);
  }
  return reply;
}

async function waitUntilRunning(body: string): Promise<void> {
  while ((await countRuns(body)) === 0) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

it('claims: a resend through another entry is refused while the first request runs', async () => {
  const first = send(0, 'running');
  await waitUntilRunning('running');
  const resend = await send(1, 'running');
  expect(resend).to.include({status: 409, code: 'already_running'});
  expect(Number(resend.headers.get('retry-after'))).to.be.at.least(1);
  expect((await first).status).to.equal(200);
  expect(await countRuns('running')).to.equal(1);
});

it('claims: a resend after completion gets the stored answer', async () => {
  const first = await send(0, 'ended');
  const resend = await sendUntilEnded(1, 'ended');
  expect(resend).to.include({status: 200, code: undefined});
  expect(resend.text).to.equal(first.text);
  expect(resend.headers.get('idempotent-replayed')).to.equal('true');
  expect(await countRuns('ended')).to.equal(1);
});

it('claims: a resend of a streamed answer gets the same stream', async () => {
  const body = JSON.stringify({
    model: 'callao-1@v1',
    prompt: 'streamed',
    stream: true,
  });
  const options = {path: '/v1/completions', body};
  const first = await send(0, 'streamed', options);
  const resend = await sendUntilEnded(1, 'streamed', options);
  expect(first.text).to.match(/data: \[DONE\]\s*$/);
  expect(resend.text).to.equal(first.text);
  expect(resend.headers.get('content-type')).to.equal('text/event-stream');
});

it('claims: a different body under the same key is not run', async () => {
  await send(0, 'reused');
  const other = await send(1, 'reused', {body: 'another body'});
  expect(other).to.include({status: 422, outcome: 'not-run'});
  expect(await countRuns('another body')).to.equal(0);
});

it('claims: a request with an expired key runs once more', async () => {
  const options = {path: '/chart-brief/indication'};
  await send(0, 'expiring', options);
  let resend = await sendUntilEnded(1, 'expiring', options);
  expect({
    status: resend.status,
    code: resend.code,
    replayed: resend.headers.get('idempotent-replayed'),
  }).to.deep.equal({status: 200, code: undefined, replayed: 'true'});
  while (resend.headers.get('idempotent-replayed') !== null) {
    await new Promise(resolve => setTimeout(resolve, 200));
    resend = await send(2, 'expiring', options);
  }
  expect(resend.status).to.equal(200);
  const last = await sendUntilEnded(1, 'expiring', options);
  expect(last.headers.get('idempotent-replayed')).to.equal('true');
  expect(await countRuns('expiring')).to.equal(2);
});

it('claims: a caller that disconnected gets its answer when it resends', async () => {
  const caller = new AbortController();
  const first = send(0, 'left', {signal: caller.signal}).catch(() => undefined);
  await waitUntilRunning('left');
  caller.abort();
  await first;
  let resend = await send(1, 'left');
  while (resend.code === 'already_running') {
    await new Promise(resolve => setTimeout(resolve, 100));
    resend = await send(1, 'left');
  }
  expect(resend.status).to.equal(200);
  expect(resend.text).to.contain('"body":"left"');
  expect(await countRuns('left')).to.equal(1);
});

it('claims: after its entry was killed, the outcome of a request is unknown and it does not run again', async () => {
  const first = send(2, 'killed').catch(() => undefined);
  await waitUntilRunning('killed');
  system.entries[2].signal('SIGKILL');
  await first;
  let resend = await send(0, 'killed');
  while (resend.code === 'already_running') {
    await new Promise(resolve => setTimeout(resolve, 100));
    resend = await send(1, 'killed');
  }
  const {code, status} = resend;
  expect({code, status}).to.deep.equal({code: 'outcome_unknown', status: 409});
  expect(await countRuns('killed')).to.equal(1);
});

it('claims: a request with a key is refused as not run while control is unreachable', async () => {
  const [control] = system.controls;
  control.signal('SIGSTOP');
  const refused = await send(0, 'no-control');
  control.signal('SIGCONT');
  expect(refused).to.include({
    status: 503,
    code: 'claim_unavailable',
    outcome: 'not-run',
  });
  expect(await countRuns('no-control')).to.equal(0);
  let resend = refused;
  while (resend.status === 503 || resend.code === 'already_running') {
    await new Promise(resolve => setTimeout(resolve, 100));
    resend = await send(1, 'no-control');
  }
  expect(resend.status).to.equal(200);
  expect(await countRuns('no-control')).to.equal(1);
});
