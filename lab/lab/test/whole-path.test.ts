import {expect} from 'chai';
import OpenAI from 'openai';
import {submitChange} from '@marigoldspur/operator-commands';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a', 'lima-b', 'lima-c'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 2},
    {service: 'chart-api', kind: 'service', count: 1},
  ],
  loadsPerSecond: 50,
} as const;

const POLL_MS = 20;
/** No entry is in lima-b, the zone of the second engine. */
const RELAYED_ZONES = ['lima-a', 'lima-c'];

let system: System;
let client: OpenAI;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 10),
    controls: 1,
    entries: 2,
    zones: RELAYED_ZONES,
  });
  await system.waitUntilSettled();
  client = new OpenAI({
    baseURL: `${system.balancerUrl}/v1`,
    apiKey: 'none',
    maxRetries: 0,
  });
});

after(() => system?.stop());

/** Waits until a condition is true; the timeout of the test limits the wait. */
async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
}

it('whole path: a chat completion runs on the adapter version that it names', async () => {
  const response = await client.chat.completions.create({
    model: 'callao-3@v1',
    messages: [{role: 'user', content: 'Draft the recap.'}],
  });
  expect(response.model).to.equal('callao-3@v1');
  expect(response.choices[0].message.content).to.match(/^callao-3@v1/);
});

it('whole path: load reports reach all entries, and control only from zones without a relay', async () => {
  const {session} = system;
  const listMembers = async () => (await session.listMembers()).unwrapOr([]);
  const listZonesReportedToControl = async () =>
    (await listMembers())
      .filter(member => member.target?.load !== undefined)
      .map(member => member.zone);
  const fetchReportedTargetCount = async (url: string) =>
    (await session.createProcessClient(url).status.query()).facts.reported;
  await waitUntil(
    async () => (await listZonesReportedToControl()).join() === 'lima-b',
  );
  const entries = (await listMembers()).filter(
    member => member.role === 'entry',
  );
  expect(entries).to.have.length(2);
  for (const {url} of entries) {
    await waitUntil(async () => (await fetchReportedTargetCount(url)) === 3);
  }
});

it('whole path: a streamed completion arrives complete', async () => {
  const stream = await client.completions.create({
    model: 'callao-4@v1',
    prompt: 'Summarise the clause.',
    max_tokens: 5,
    stream: true,
  });
  const words: string[] = [];
  for await (const chunk of stream) {
    words.push(chunk.choices[0].text);
  }
  expect(words.join('')).to.equal('callao-4@v1 w1 w2 w3 w4');
});

it('whole path: the model list contains the available adapters', async () => {
  const list = await client.models.list();
  expect(list.data.map(model => model.id)).to.include('callao-9@v1');
});

it('whole path: a plain service receives the method, path and body', async () => {
  const response = await fetch(
    `${system.balancerUrl}/chart-api/laytime?port=1`,
    {
      method: 'PUT',
      body: 'days=3',
    },
  );
  expect(await response.json()).to.include({
    method: 'PUT',
    url: '/laytime?port=1',
    body: 'days=3',
  });
});

it('whole path: an unknown adapter version returns an error code', async () => {
  const response = await fetch(`${system.balancerUrl}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({model: 'callao-1@v9', prompt: ''}),
  });
  expect(response.status).to.equal(404);
  const {error} = (await response.json()) as {error: Record<string, unknown>};
  expect(error).to.include({code: 'unknown_version', outcome: 'not-run'});
});

it('whole path: a repeated idempotency key returns the first response and runs once', async () => {
  const send = () =>
    fetch(`${system.balancerUrl}/chart-api/indication`, {
      method: 'POST',
      body: 'tonnes=50000',
      headers: {'idempotency-key': 'indication-1'},
    });
  const first = await (await send()).text();
  const second = await (await send()).text();
  expect(second).to.equal(first);
  const target = system.targets.find(pair => pair.name === 'chart-api-0');
  const record = (await (
    await fetch(`${target?.url}/record`)
  ).json()) as Array<{
    model: string;
  }>;
  expect(record.filter(run => run.model === '/indication')).to.have.length(1);
});

it('whole path: a new adapter version is loaded before its first call', async () => {
  const call = (model: string) =>
    client.completions.create({model, prompt: 'p', max_tokens: 1});
  await call('callao-5@v1');
  const changed = await submitChange(
    system.session,
    [
      {
        edit: 'add-version',
        path: '/callao/lm-desk/callao-5',
        version: 'v2',
        value: {digest: 'digest-2', retired: false},
      },
    ],
    {author: 'test'},
  );
  expect(changed.unwrapOr(undefined)).to.include({outcome: 'accepted'});
  while ((await fetchLoadOrders('callao-5@v2')).length === 0) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  const response = await call('callao-5@v2');
  expect(response.model).to.equal('callao-5@v2');
  expect(await fetchLoadOrders('callao-5@v2')).to.have.length(1);
});

/** Fetches the load orders that the engines received for a model, given as `adapter@version`. */
async function fetchLoadOrders(model: string): Promise<unknown[]> {
  const engines = system.targets.filter(({name}) => name.startsWith('lm-desk'));
  const orders = await Promise.all(
    engines.map(async ({url}) => (await fetch(`${url}/orders`)).json()),
  );
  const all = orders.flat() as Array<{order: string; model: string}>;
  return all.filter(order => order.order === 'load' && order.model === model);
}
