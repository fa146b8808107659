import {expect} from 'chai';
import {
  deploymentTree,
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
const TOKENS = 400;
const TOKEN_MS = 5;
const POLL_MS = 20;
const WAIT_MS = 30_000;

let system: System;
let agents: Child[];

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: deploymentTree([DEPLOYMENT], 4),
    ...{controls: 1, entries: 1, tokenMs: TOKEN_MS, resumeMs: 15_000},
  });
  await system.settled();
  agents = [system.targets[0].agent];
});

after(async () => {
  agents?.forEach(agent => agent.signal('SIGKILL'));
  await system?.stop();
});

interface Stream {
  /** Numbers of the events that have come. */
  numbers(): string[];
  /** The whole text; undefined where it broke off. */
  readonly text: Promise<string | undefined>;
  leave(): void;
}

/** Streams through the entry; resolves once the stream has begun. */
async function stream(prompt: string): Promise<Stream> {
  const caller = new AbortController();
  const answer = await fetch(`${system.entryUrls[0]}/v1/completions`, {
    method: 'POST',
    signal: caller.signal,
    body: JSON.stringify({
      ...{model: 'callao-0@v1', prompt, max_tokens: TOKENS, stream: true},
    }),
  });
  const reader = answer.body!.getReader();
  let seen = Buffer.from((await reader.read()).value!).toString();
  const readAll = async () => {
    for (;;) {
      const {done, value} = await reader.read();
      if (done) {
        return seen;
      }
      seen += Buffer.from(value).toString();
    }
  };
  return {
    numbers: () => seen.match(/^id: \d+$/gm) ?? [],
    text: readAll().catch(() => undefined),
    leave: () => caller.abort(),
  };
}

async function runs(prompt: string): Promise<RunRecord[]> {
  const url = `${system.targets[0].url}/record`;
  const all = (await (await fetch(url)).json()) as RunRecord[];
  return all.filter(run => run.input.includes(prompt));
}

async function eventually(check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!(await check())) {
    if (performance.now() > deadline) {
      throw new Error(`did not happen: ${check.toString()}`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

function withoutRequest(text: string | undefined): string | undefined {
  return text?.replaceAll(/"id":"[^"]+"/g, '"id":""');
}

it('stream resume: an agent killed and started again costs the caller nothing', async () => {
  const unbroken = await (await stream('unbroken')).text;
  const running = await stream('killed');
  const agent = agents.at(-1)!;
  agent.signal('SIGKILL');
  await agent.ended;
  agents.push(startChild(agent.name, AGENT, [...agent.args]));
  expect(withoutRequest(await running.text)).to.equal(withoutRequest(unbroken));
  expect(running.numbers()).to.have.length(TOKENS + 1);
  const ran = await runs('killed');
  expect(ran.map(run => run.end)).to.deep.equal(['whole']);
});

it('stream resume: a caller that leaves stops the run at once', async () => {
  const running = await stream('left');
  running.leave();
  expect(await running.text).to.equal(undefined);
  await eventually(async () => (await runs('left'))[0].end !== 'running');
  const [run] = await runs('left');
  expect(run.end).to.not.equal('whole');
  expect(run.tokens?.length).to.be.below(TOKENS);
});

it('stream resume: an engine that restarts empty tears the stream', async () => {
  const running = await stream('emptied');
  await fetch(`${system.targets[0].url}/faults`, {
    method: 'POST',
    body: JSON.stringify({restart: true}),
  });
  expect(await running.text).to.equal(undefined);
  expect(await runs('emptied')).to.have.length(1);
});
