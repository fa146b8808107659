import {expect} from 'chai';
import {CutNetwork} from '@marigoldspur/fault-runs';
import {
  deploymentTree,
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
const CONTROL = new Set(['control-0']);
/** A process that is cut off from control serves on for this time. */
const ISOLATION_BOUND_MS = 3_600_000;
const SEND_PAUSE_MS = 200;

let system: System;
let network: CutNetwork;

before(async () => {
  network = new CutNetwork();
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: {
      ...deploymentTree([DEPLOYMENT], 1),
      settings: {isolationBoundMs: ISOLATION_BOUND_MS},
    },
    controls: 1,
    entries: 1,
    network,
  });
  await system.settled();
});

after(async () => {
  await system?.stop();
  await network?.close();
});

it('settings pull: an entry cut off from control gets a change from an agent that is ahead', () =>
  pulls('entry-0', system.entries[0]));

it('settings pull: an agent cut off from control gets a change from an entry that is ahead', () =>
  pulls('chart-api-0-agent', system.targets[0].agent));

/** A change reaches a process that hears only requests or their answers. */
async function pulls(name: string, child: Child): Promise<void> {
  const mend = network.cut({
    inside: new Set([name]),
    outside: CONTROL,
    inward: true,
    outward: true,
  });
  const revision = await changeSettings();
  const inForce = child.line(
    line =>
      line.includes('"settings-in-force"') &&
      line.includes(`"revision":${revision}`),
  );
  let waiting = true;
  const heard = inForce.then(() => (waiting = false));
  while (waiting) {
    await fetch(`${system.entryUrls[0]}/chart-api/positions`);
    await new Promise(resolve => setTimeout(resolve, SEND_PAUSE_MS));
  }
  await heard;
  expect(JSON.parse(await inForce)).to.include({process: name});
  mend();
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
    throw new Error(`not accepted: ${JSON.stringify(changed)}`);
  }
  return changed.value.revision;
}
