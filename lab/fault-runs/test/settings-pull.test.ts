import {expect} from 'chai';
import {CutNetwork} from '@marigoldspur/fault-runs';
import {
  createDeploymentTree,
  startSystem,
  type Child,
  type System,
} from '@marigoldspur/lab';
import {submitChange} from '@marigoldspur/operator-commands';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'chart-api', kind: 'service', count: 1}],
  loadsPerSecond: 50,
} as const;
const CONTROL_NAMES = new Set(['control-0']);
/** How long a process that is cut off from control continues to serve. */
const ISOLATION_BOUND_MS = 3_600_000;
const REQUEST_INTERVAL_MS = 200;

let system: System;
let network: CutNetwork;

before(async () => {
  network = new CutNetwork();
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: {
      ...createDeploymentTree([DEPLOYMENT], 1),
      settings: {isolationBoundMs: ISOLATION_BOUND_MS},
    },
    controls: 1,
    entries: 1,
    network,
  });
  await system.waitUntilSettled();
});

after(async () => {
  await system?.stop();
  await network?.close();
});

it('settings pull: an entry cut off from control gets a change from an agent that has it', () =>
  expectPull('entry-0', system.entries[0]));

it('settings pull: an agent cut off from control gets a change from an entry that has it', () =>
  expectPull('chart-api-0-agent', system.targets[0].agent));

/** Cuts a process off from control and expects that it gets a change through the requests and answers that it exchanges with others. */
async function expectPull(name: string, child: Child): Promise<void> {
  const restore = network.cut({
    inside: new Set([name]),
    outside: CONTROL_NAMES,
    blocksInward: true,
    blocksOutward: true,
  });
  const revision = await changeSettings();
  const inForce = child.waitForLine(
    line =>
      line.includes('"settings-in-force"') &&
      line.includes(`"revision":${revision}`),
  );
  let isWaiting = true;
  const applied = inForce.then(() => (isWaiting = false));
  while (isWaiting) {
    await fetch(`${system.entryUrls[0]}/chart-api/positions`);
    await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS));
  }
  await applied;
  expect(JSON.parse(await inForce)).to.include({process: name});
  restore();
}

async function changeSettings(): Promise<number> {
  const edit = {
    edit: 'set',
    path: '/callao',
    setting: 'queueLimit',
    value: 1_234,
  } as const;
  const changed = await submitChange(system.session, [edit], {author: 'test'});
  if (changed.isErr || changed.value.outcome !== 'accepted') {
    throw new Error(`the change was not accepted: ${JSON.stringify(changed)}`);
  }
  return changed.value.revision;
}
