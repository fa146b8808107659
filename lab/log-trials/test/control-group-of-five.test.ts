import {expect} from 'chai';
import {
  ClaimLoad,
  ControlHostGroup,
  type ControlHost,
} from '@marigoldspur/log-trials';
import {expectNoLostClaims} from './expect-no-lost-claims.js';

const TIMEOUT_MS = 180_000;
const CLAIMS_PER_STEP = 40;

let group: ControlHostGroup;
let load: ClaimLoad;

beforeEach(async function () {
  this.timeout(TIMEOUT_MS);
  group = await ControlHostGroup.start({replicas: 5});
  load = new ClaimLoad(group.client, {proposers: 4});
  await load.waitForGranted(CLAIMS_PER_STEP);
});

afterEach(async () => {
  await load?.stop();
  await group?.stop();
});

/** Returns the leader and a follower. */
async function findLeaderAndFollower(): Promise<[ControlHost, ControlHost]> {
  const leader = await group.waitForLeader();
  return [leader, group.hosts.find(host => host !== leader)!];
}

it('five replicas: no claim is lost when the leader is killed while a follower is frozen', async () => {
  const [leader, follower] = await findLeaderAndFollower();
  follower.child?.signal('SIGSTOP');
  await group.kill(leader);
  await load.waitForGranted(CLAIMS_PER_STEP);
  follower.child?.signal('SIGCONT');
  group.startProcess(leader);
  await group.waitUntilCaughtUp();
  await expectNoLostClaims(group, load, CLAIMS_PER_STEP);
}).timeout(TIMEOUT_MS);

it('five replicas: no claim is lost when the leader and a follower are cut off together and reconnected', async () => {
  const [leader, follower] = await findLeaderAndFollower();
  const majority = group.hosts.filter(
    host => host !== leader && host !== follower,
  );
  for (const isolated of [leader, follower]) {
    for (const other of majority) {
      group.cut(isolated, other, true);
      group.cut(other, isolated, true);
    }
  }
  const next = await group.waitForLeader(leader);
  expect(majority).to.include(next);
  await load.waitForGranted(CLAIMS_PER_STEP);
  expect((await group.fetchStatus(leader))?.role).to.not.equal('leader');
  for (const isolated of [leader, follower]) {
    group.isolate(isolated, false);
  }
  await group.waitUntilCaughtUp();
  await expectNoLostClaims(group, load, CLAIMS_PER_STEP);
}).timeout(TIMEOUT_MS);

it('five replicas: no claim is lost when a disk is lost and, after the replica is repaired, two more hosts fail', async () => {
  const [leader] = await findLeaderAndFollower();
  await group.loseDisk(leader);
  await load.waitForGranted(CLAIMS_PER_STEP);
  group.startProcess(leader);
  await group.waitForEvent(
    'replica-repaired',
    ({url, index}) => url === leader.url && Number(index) > CLAIMS_PER_STEP,
  );
  const [second, third] = group.hosts.filter(host => host !== leader);
  await Promise.all([group.loseDisk(second), group.kill(third)]);
  await load.waitForGranted(CLAIMS_PER_STEP);
  group.startProcess(second);
  group.startProcess(third);
  await group.waitUntilCaughtUp();
  await expectNoLostClaims(group, load, CLAIMS_PER_STEP);
}).timeout(TIMEOUT_MS);
