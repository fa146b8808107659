import {expect} from 'chai';
import {CutNetwork} from '@marigoldspur/fault-runs';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'chart-api', kind: 'service', count: 1}],
  loadsPerSecond: 50,
} as const;
const AGENT_CUT = {
  inside: new Set(['chart-api-0-agent']),
  blocksInward: true,
  blocksOutward: true,
};
const CALL_MS = 1_000;
const SHORT_CUT_MS = 1_500;
const POLL_MS = 20;

interface Reply {
  readonly status: number;
  readonly retryAfter: string | null;
  readonly error: {readonly code?: string; readonly outcome?: string};
}

let system: System;
let network: CutNetwork;

beforeEach(async () => {
  network = new CutNetwork();
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 1),
    controls: 1,
    entries: 1,
    network,
    serviceCallMs: CALL_MS,
  });
  await system.waitUntilSettled();
});

afterEach(async () => {
  await system?.stop();
  await network?.close();
});

/** Calls a path whose requests may not be repeated. */
async function call(key?: string): Promise<Reply> {
  const answer = await fetch(`${system.entryUrls[0]}/chart-api/indication`, {
    method: 'POST',
    body: 'freight',
    headers: key === undefined ? {} : {'idempotency-key': key},
  });
  const text = await answer.text();
  const {error = {}} = text.startsWith('{"error"') ? JSON.parse(text) : {};
  return {
    status: answer.status,
    retryAfter: answer.headers.get('retry-after'),
    error,
  };
}

async function waitUntilRunning(): Promise<void> {
  const runs = async () =>
    (await (
      await fetch(`${system.targets[0].url}/record`)
    ).json()) as unknown[];
  while ((await runs()).length === 0) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

it('lost agent: a running call at an agent that is silently cut off ends as unknown before its timeout', async () => {
  const running = call('freight-1');
  await waitUntilRunning();
  network.cut(AGENT_CUT);
  const reply = await running;
  expect(reply.error).to.include({code: 'agent_silent', outcome: 'unknown'});
  expect(reply.status).to.equal(502);
  expect(Number(reply.retryAfter)).to.be.at.least(1);
  const resend = await call('freight-1');
  expect(resend.error.outcome).to.equal('unknown');
});

it('lost agent: a running call at an agent that is briefly cut off is answered', async () => {
  const running = call();
  await waitUntilRunning();
  const restore = network.cut(AGENT_CUT);
  await new Promise(resolve => setTimeout(resolve, SHORT_CUT_MS));
  restore();
  expect((await running).status).to.equal(200);
});
