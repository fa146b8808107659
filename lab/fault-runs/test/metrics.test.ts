import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';
import type {RunRecord} from '@marigoldspur/stand-ins';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 2,
} as const;
const LOAD_MS = 1_000 / DEPLOYMENT.loadsPerSecond;
const BATCH_LIMIT = 4;
const STREAMS = 2;
const TOKENS = 200;

let system: System;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 2),
    controls: 1,
    entries: 1,
    tokenMs: 10,
    batchLimit: BATCH_LIMIT,
  });
  await system.waitUntilSettled();
});

after(() => system?.stop());

it('metrics: a load stall is the time that a request waits for its adapter', async () => {
  const sentAt = Date.now();
  const run = await complete('stalled', 1);
  const cold = await readHistogram('marigoldspur_load_stall_seconds');
  expect(cold.count).to.equal(1);
  expect(cold.sum * 1_000).to.be.within(LOAD_MS, run.startedAt - sentAt + 1);
  const warmAt = Date.now();
  const second = await complete('warm', 1);
  const warm = await readHistogram('marigoldspur_load_stall_seconds');
  expect(warm.count).to.equal(2);
  expect((warm.sum - cold.sum) * 1_000).to.be.within(
    0,
    second.startedAt - warmAt + 1,
  );
});

it('metrics: the batch fill ratio agrees with the batches of the engine', async () => {
  const before = await readHistogram('marigoldspur_batch_fill_ratio');
  const runs = await Promise.all(
    Array.from({length: STREAMS}, (_, index) =>
      complete(`filled-${index}`, TOKENS),
    ),
  );
  const after = await readHistogram('marigoldspur_batch_fill_ratio');
  const samples = after.count - before.count;
  const sampled = (after.sum - before.sum) / samples;
  const batches = runs.flatMap(run => run.tokens!.map(({batch}) => batch));
  const mean = batches.reduce((sum, batch) => sum + batch, 0) / batches.length;
  expect(samples).to.be.above(2);
  // Only one of the streams may run at the first and at the last sample.
  const tolerance = 2 / samples;
  expect(sampled).to.be.within(
    (mean - tolerance) / BATCH_LIMIT,
    (mean + tolerance) / BATCH_LIMIT,
  );
});

/** Runs a completion and returns the engine's record of it. */
async function complete(prompt: string, tokens: number): Promise<RunRecord> {
  const answer = await fetch(`${system.entryUrls[0]}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({model: 'callao-1@v1', prompt, max_tokens: tokens}),
  });
  expect(answer.status, await answer.text()).to.equal(200);
  const record = await fetch(`${system.targets[0].url}/record`);
  const runs = (await record.json()) as RunRecord[];
  return runs.find(({input}) => input.includes(prompt))!;
}

/** Reads the count and sum of a histogram of the agent. */
async function readHistogram(
  name: string,
): Promise<{count: number; sum: number}> {
  const {agent} = system.targets[0];
  const started = await agent.waitForLine(line =>
    line.includes('"process-started"'),
  );
  const {details} = JSON.parse(started) as {details: {url: string}};
  const text = await (await fetch(`${details.url}/metrics`)).text();
  const valueOf = (suffix: string) =>
    Number(
      new RegExp(`^${name}_${suffix}(?:{.*})? (.+)$`, 'm').exec(text)?.[1],
    );
  return {count: valueOf('count'), sum: valueOf('sum')};
}
