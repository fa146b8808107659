import {expect} from 'chai';
import {
  ClaimLoad,
  ControlGroup,
  lostClaims,
  takeClaim,
} from '@marigoldspur/log-trials';

const TIMEOUT_MS = 180_000;
const CLAIM_TIMEOUT_MS = 30_000;
const CLAIMS = 40;

let group: ControlGroup;
let granted: readonly string[];

beforeEach(async function () {
  this.timeout(TIMEOUT_MS);
  group = await ControlGroup.start({count: 3, diskFaults: true});
  const load = new ClaimLoad(group.client, {proposers: 4, limit: CLAIMS});
  await load.done();
  ({granted} = await load.stop());
});

afterEach(async () => {
  await group?.stop();
});

async function expectAccepts(key: string): Promise<void> {
  const outcome = await takeClaim(group.client, key, 'first', {
    timeoutMs: CLAIM_TIMEOUT_MS,
  });
  expect(outcome?.outcome).to.equal('granted');
}

async function expectNothingLost(): Promise<void> {
  expect(granted).to.have.length(CLAIMS);
  expect(await lostClaims(group.client, granted)).to.deep.equal([]);
}

it('disks: a leader whose sync fails ends, and another goes on', async () => {
  const failed = await group.leader();
  await group.failDisk(failed, 'failed sync');
  await expectAccepts('during');
  expect(await failed.child?.ended).to.equal(3);
  const lines = failed.child?.lines ?? [];
  expect(lines.some(line => line.includes('"log-write-failed"'))).to.equal(
    true,
  );
  await group.failDisk(failed, undefined);
  group.run(failed);
  await group.whole();
  await expectNothingLost();
}).timeout(TIMEOUT_MS);

it('disks: a leader without room hands over, and takes part again with room', async () => {
  const full = await group.leader();
  await group.failDisk(full, 'no room');
  await expectAccepts('during');
  await group.event('disk-full', () => true);
  const next = await group.leader(full);
  expect(next).to.not.equal(full);
  expect((await group.status(full))?.role).to.not.equal('leader');
  await group.failDisk(full, undefined);
  await group.whole();
  await expectNothingLost();
}).timeout(TIMEOUT_MS);

it('disks: with no room at a majority nothing is accepted, and all goes on with room', async () => {
  const leader = await group.leader();
  const others = group.hosts.filter(host => host !== leader);
  await Promise.all(others.map(host => group.failDisk(host, 'no room')));
  const refused = await takeClaim(group.client, 'refused', 'first', {
    timeoutMs: 3_000,
  });
  expect(refused).to.equal(undefined);
  await Promise.all(others.map(host => group.failDisk(host, undefined)));
  await group.whole();
  await expectAccepts('after');
  await expectNothingLost();
}).timeout(TIMEOUT_MS);

it('disks: a replacement that cannot sync the log does not count', async () => {
  const leader = await group.leader();
  const lost = group.hosts.find(host => host !== leader)!;
  await group.loseDisk(lost);
  group.isolate(lost, true);
  group.run(lost);
  await lost.child!.line(line => line.includes('"log-opened"'));
  await group.failDisk(lost, 'no room');
  group.isolate(lost, false);
  await lost.child!.line(line => line.includes('"disk-full"'));
  const {replica} = (await group.status(lost))!;
  for (let claims = 0; claims < CLAIMS; claims += 1) {
    await expectAccepts(`during-${claims}`);
  }
  const status = (await group.status(leader))!;
  expect(status.replicas?.map(({id}) => id)).to.include(replica);
  expect(status.voters).to.have.length(3).and.to.not.include(replica);
  await group.failDisk(lost, undefined);
  const repaired = await group.event(
    'replica-repaired',
    details => details.replica === replica,
  );
  expect(repaired.url).to.equal(lost.url);
  await group.whole();
  await expectNothingLost();
}).timeout(TIMEOUT_MS);
