import {expect} from 'chai';
import {
  ClaimLoad,
  ControlHostGroup,
  findLostClaims,
  takeClaim,
} from '@marigoldspur/log-trials';

const TIMEOUT_MS = 180_000;
const CLAIM_TIMEOUT_MS = 30_000;
const CLAIMS = 40;

let group: ControlHostGroup;
let granted: readonly string[];

beforeEach(async function () {
  this.timeout(TIMEOUT_MS);
  group = await ControlHostGroup.start({replicas: 3, hasDiskFaults: true});
  const load = new ClaimLoad(group.client, {proposers: 4, limit: CLAIMS});
  await load.waitUntilDone();
  ({granted} = await load.stop());
});

afterEach(async () => {
  await group?.stop();
});

async function expectClaimGranted(key: string): Promise<void> {
  const outcome = await takeClaim(group.client, key, 'first', {
    timeoutMs: CLAIM_TIMEOUT_MS,
  });
  expect(outcome?.outcome).to.equal('granted');
}

async function expectNoLostClaims(): Promise<void> {
  expect(granted).to.have.length(CLAIMS);
  expect(await findLostClaims(group.client, granted)).to.deep.equal([]);
}

it('disks: a leader whose sync fails hands over leadership and rejoins once its disk works', async () => {
  const failed = await group.waitForLeader();
  await group.applyDiskFault(failed, 'failed sync');
  await expectClaimGranted('during');
  await group.waitForEvent('disk-failed', () => true);
  const next = await group.waitForLeader(failed);
  expect(next).to.not.equal(failed);
  expect((await group.fetchStatus(failed))?.role).to.not.equal('leader');
  await group.applyDiskFault(failed, undefined);
  await group.waitForEvent('disk-recovered', () => true);
  await group.waitUntilCaughtUp();
  await expectNoLostClaims();
}).timeout(TIMEOUT_MS);

it('disks: a leader with a full disk hands over leadership and rejoins once it has space', async () => {
  const full = await group.waitForLeader();
  await group.applyDiskFault(full, 'no room');
  await expectClaimGranted('during');
  await group.waitForEvent('disk-full', () => true);
  const next = await group.waitForLeader(full);
  expect(next).to.not.equal(full);
  expect((await group.fetchStatus(full))?.role).to.not.equal('leader');
  await group.applyDiskFault(full, undefined);
  await group.waitUntilCaughtUp();
  await expectNoLostClaims();
}).timeout(TIMEOUT_MS);

it('disks: no claim is accepted while the disks of a majority are full, and claims are accepted again once they have space', async () => {
  const leader = await group.waitForLeader();
  const others = group.hosts.filter(host => host !== leader);
  await Promise.all(others.map(host => group.applyDiskFault(host, 'no room')));
  const refused = await takeClaim(group.client, 'refused', 'first', {
    timeoutMs: 3_000,
  });
  expect(refused).to.equal(undefined);
  await Promise.all(others.map(host => group.applyDiskFault(host, undefined)));
  await group.waitUntilCaughtUp();
  await expectClaimGranted('after');
  await expectNoLostClaims();
}).timeout(TIMEOUT_MS);

it('disks: a replacement replica that cannot write the log does not become a voter', async () => {
  const leader = await group.waitForLeader();
  const lost = group.hosts.find(host => host !== leader)!;
  await group.loseDisk(lost);
  group.isolate(lost, true);
  group.startProcess(lost);
  await lost.child!.waitForLine(line => line.includes('"log-opened"'));
  await group.applyDiskFault(lost, 'no room');
  group.isolate(lost, false);
  await lost.child!.waitForLine(line => line.includes('"disk-full"'));
  const {replica} = await group.waitForStatus(lost);
  for (let claims = 0; claims < CLAIMS; claims += 1) {
    await expectClaimGranted(`during-${claims}`);
  }
  const status = await group.waitForStatus(leader);
  expect(status.replicas?.map(({id}) => id)).to.include(replica);
  expect(status.voters).to.have.length(3).and.to.not.include(replica);
  await group.applyDiskFault(lost, undefined);
  const repaired = await group.waitForEvent(
    'replica-repaired',
    details => details.replica === replica,
  );
  expect(repaired.url).to.equal(lost.url);
  await group.waitUntilCaughtUp();
  await expectNoLostClaims();
}).timeout(TIMEOUT_MS);
