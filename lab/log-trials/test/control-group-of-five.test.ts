import {expect} from 'chai';
import {
  ClaimLoad,
  ControlGroup,
  type ControlHost,
} from '@marigoldspur/log-trials';
import {expectNothingLost} from './expect-nothing-lost.js';

const TIMEOUT_MS = 180_000;
const CLAIMS_BETWEEN = 40;

let group: ControlGroup;
let load: ClaimLoad;

beforeEach(async function () {
  this.timeout(TIMEOUT_MS);
  group = await ControlGroup.start({count: 5});
  load = new ClaimLoad(group.client, {proposers: 4});
  await load.furtherGranted(CLAIMS_BETWEEN);
});

afterEach(async () => {
  await load?.stop();
  await group?.stop();
});

/** The leader and a follower. */
async function twoHosts(): Promise<[ControlHost, ControlHost]> {
  const leader = await group.leader();
  return [leader, group.hosts.find(host => host !== leader)!];
}

it('five replicas: a killed leader and a frozen follower at once', async () => {
  const [leader, follower] = await twoHosts();
  follower.child?.signal('SIGSTOP');
  await group.kill(leader);
  await load.furtherGranted(CLAIMS_BETWEEN);
  follower.child?.signal('SIGCONT');
  group.run(leader);
  await group.whole();
  await expectNothingLost(group, load, CLAIMS_BETWEEN);
}).timeout(TIMEOUT_MS);

it('five replicas: a leader and a follower cut off together, and mended', async () => {
  const [leader, follower] = await twoHosts();
  const majority = group.hosts.filter(
    host => host !== leader && host !== follower,
  );
  for (const near of [leader, follower]) {
    for (const far of majority) {
      group.cut(near, far, true);
      group.cut(far, near, true);
    }
  }
  const next = await group.leader(leader);
  expect(majority).to.include(next);
  await load.furtherGranted(CLAIMS_BETWEEN);
  expect((await group.status(leader))?.role).to.not.equal('leader');
  for (const near of [leader, follower]) {
    group.isolate(near, false);
  }
  await group.whole();
  await expectNothingLost(group, load, CLAIMS_BETWEEN);
}).timeout(TIMEOUT_MS);

it('five replicas: a lost disk, and a second and third host after its repair', async () => {
  const [leader] = await twoHosts();
  await group.loseDisk(leader);
  await load.furtherGranted(CLAIMS_BETWEEN);
  group.run(leader);
  await group.event(
    'replica-repaired',
    ({url, index}) => url === leader.url && Number(index) > CLAIMS_BETWEEN,
  );
  const [second, third] = group.hosts.filter(host => host !== leader);
  await Promise.all([group.loseDisk(second), group.kill(third)]);
  await load.furtherGranted(CLAIMS_BETWEEN);
  group.run(second);
  group.run(third);
  await group.whole();
  await expectNothingLost(group, load, CLAIMS_BETWEEN);
}).timeout(TIMEOUT_MS);
