import {randomUUID} from 'node:crypto';
import {expect} from 'chai';
import {
  createDeploymentTree,
  startChild,
  startSystem,
  type Child,
  type System,
} from '@marigoldspur/lab';
import {formatHop} from '@marigoldspur/messages';

const LAB_PACKAGE = '@marigoldspur/lab';
const AGENT_PACKAGE = '@marigoldspur/agent-server';
const POLL_MS = 20;
const REQUESTS = 10;
const DEPLOYMENT = {
  customer: 'callao',
  zones: ['zone-0'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 1},
    {service: 'chart-api', kind: 'service', count: 1},
  ],
  loadsPerSecond: 50,
} as const;

/** The request that the tests send to each kind of target. */
const TARGET_KINDS = [
  {
    kind: 'engine',
    service: 'lm-desk',
    path: '/v1/completions',
    body: JSON.stringify({model: 'callao-0@v1', prompt: 'p', max_tokens: 1}),
    model: {adapter: 'callao-0', version: 'v1'},
  },
  {
    kind: 'service',
    service: 'chart-api',
    path: '/chart-api/indication',
    body: 'indication',
    model: undefined,
  },
] as const;

let system: System;
const children: Child[] = [];

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 1),
    controls: 1,
    entries: 1,
  });
  await system.waitUntilSettled();
});

after(async () => {
  children.forEach(child => child.signal('SIGKILL'));
  await Promise.all(children.map(child => child.ended));
  await system?.stop();
});

function start(name: string, program: string, args: string[]): Child {
  const child = startChild(name, program, args);
  children.push(child);
  return child;
}

async function waitForReadyUrl(child: Child): Promise<string> {
  const line = await child.waitForLine(each => each.startsWith('ready '));
  return line.slice('ready '.length);
}

async function startTarget(kind: 'engine' | 'service'): Promise<string> {
  if (kind === 'service') {
    return waitForReadyUrl(
      start('replacement', LAB_PACKAGE, ['service', '--port', '0']),
    );
  }
  const store = start('store', LAB_PACKAGE, [
    'store',
    '--loads-per-second',
    '50',
  ]);
  const storeUrl = await waitForReadyUrl(store);
  return waitForReadyUrl(
    start('replacement', LAB_PACKAGE, [
      'engine',
      '--port',
      '0',
      '--store-url',
      storeUrl,
    ]),
  );
}

async function countRuns(url: string): Promise<number> {
  const record = (await (await fetch(`${url}/record`)).json()) as unknown[];
  return record.length;
}

for (const {kind, service, path, body, model} of TARGET_KINDS) {
  const target = `${service}-0`;

  function send(): Promise<Response> {
    return fetch(`${system.entryUrls[0]}${path}`, {method: 'POST', body});
  }

  it(`members: a target that restarts under the same name at another address gets requests only there, ${kind}`, async () => {
    const first = system.targets.find(pair => pair.name === target)!;
    expect((await send()).status).to.equal(200);
    const url = await startTarget(kind);
    const agent = start('replacement-agent', AGENT_PACKAGE, [
      ...['--id', `${target}-agent`, '--zone', 'zone-0', '--port', '0'],
      ...['--control', system.controlUrls.join(',')],
      ...['--target', target, '--target-url', url, '--target-kind', kind],
      ...['--fence-checked', 'true'],
      ...['--customer', 'callao', '--service', service],
    ]);
    while ((await countRuns(url)) === 0) {
      await (await send()).text();
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    while ((await sendAttempt(first.agent)).status === 200) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    const oldRuns = await countRuns(first.url);
    const newRuns = await countRuns(url);
    for (let count = 0; count < REQUESTS; count += 1) {
      expect((await send()).status).to.equal(200);
    }
    expect(await countRuns(url)).to.equal(newRuns + REQUESTS);
    const refused = await sendAttempt(first.agent);
    expect(refused.status).to.equal(503);
    expect(refused.headers.get('x-marigoldspur-reason')).to.equal('no_lease');
    expect(await countRuns(first.url)).to.equal(oldRuns);
    expect(agent.process.exitCode).to.equal(null);
  });

  /** Sends an attempt to an agent, as an entry with an outdated member list would. */
  async function sendAttempt(agent: Child): Promise<Response> {
    const line = await agent.waitForLine(each =>
      each.includes('"process-started"'),
    );
    const {url} = (JSON.parse(line) as {details: {url: string}}).details;
    const hop = formatHop({
      request: randomUUID(),
      attempt: 1,
      model,
      target,
      revision: 1,
      budgetMs: 5_000,
      priority: 5,
      repeatable: true,
    });
    return fetch(`${url}${path}`, {
      method: 'POST',
      body,
      headers: hop as Record<string, string>,
    });
  }
}
