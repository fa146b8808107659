import {expect} from 'chai';
import {
  createDeploymentTree,
  startChild,
  startSystem,
  type Child,
  type System,
} from '@marigoldspur/lab';
import type {RunRecord} from '@marigoldspur/stand-ins';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;
const AGENT = '@marigoldspur/agent-server';
const TOKEN_COUNT = 400;
const TOKEN_MS = 5;
const POLL_MS = 20;
const WAIT_MS = 30_000;

let system: System;
let agents: Child[];

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 4),
    ...{controls: 1, entries: 1, tokenMs: TOKEN_MS, resumeMs: 15_000},
  });
  await system.waitUntilSettled();
  agents = [system.targets[0].agent];
});

after(async () => {
  agents?.forEach(agent => agent.signal('SIGKILL'));
  await system?.stop();
});

interface Stream {
  /** Returns the ID lines of the events received so far. */
  listEventIds(): string[];
  /** Resolves to the complete text; undefined if the stream broke. */
  readonly text: Promise<string | undefined>;
  cancel(): void;
}

/** Starts a stream through the entry; resolves when its first data arrives. */
async function startStream(prompt: string): Promise<Stream> {
  const caller = new AbortController();
  const response = await fetch(`${system.entryUrls[0]}/v1/completions`, {
    method: 'POST',
    signal: caller.signal,
    body: JSON.stringify({
      ...{model: 'callao-0@v1', prompt, max_tokens: TOKEN_COUNT, stream: true},
    }),
  });
  const reader = response.body!.getReader();
  let receivedText = Buffer.from((await reader.read()).value!).toString();
  const readAll = async () => {
    for (;;) {
      const {done, value} = await reader.read();
      if (done) {
        return receivedText;
      }
      receivedText += Buffer.from(value).toString();
    }
  };
  return {
    listEventIds: () => receivedText.match(/^id: \d+$/gm) ?? [],
    text: readAll().catch(() => undefined),
    cancel: () => caller.abort(),
  };
}

async function fetchRuns(prompt: string): Promise<RunRecord[]> {
  const url = `${system.targets[0].url}/record`;
  const all = (await (await fetch(url)).json()) as RunRecord[];
  return all.filter(run => run.input.includes(prompt));
}

async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!(await check())) {
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting for: ${check.toString()}`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

function maskRequestId(text: string | undefined): string | undefined {
  return text?.replaceAll(/"id":"[^"]+"/g, '"id":""');
}

it('stream resume: a caller receives the complete stream although the agent is killed and restarted', async () => {
  const unbroken = await (await startStream('unbroken')).text;
  const running = await startStream('killed');
  const agent = agents.at(-1)!;
  agent.signal('SIGKILL');
  await agent.ended;
  agents.push(startChild(agent.name, AGENT, [...agent.args]));
  expect(maskRequestId(await running.text)).to.equal(maskRequestId(unbroken));
  expect(running.listEventIds()).to.have.length(TOKEN_COUNT + 1);
  const runs = await fetchRuns('killed');
  expect(runs.map(run => run.end)).to.deep.equal(['whole']);
});

it('stream resume: a run is cancelled when its caller disconnects', async () => {
  const running = await startStream('disconnected');
  running.cancel();
  expect(await running.text).to.equal(undefined);
  await waitUntil(
    async () => (await fetchRuns('disconnected'))[0].end !== 'running',
  );
  const [run] = await fetchRuns('disconnected');
  expect(run.end).to.not.equal('whole');
  expect(run.tokens?.length).to.be.below(TOKEN_COUNT);
});

it('stream resume: a stream breaks when the engine restarts', async () => {
  const running = await startStream('restarted');
  await fetch(`${system.targets[0].url}/faults`, {
    method: 'POST',
    body: JSON.stringify({restart: true}),
  });
  expect(await running.text).to.equal(undefined);
  expect(await fetchRuns('restarted')).to.have.length(1);
});
