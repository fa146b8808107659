import {expect} from 'chai';
import {
  UNKNOWN_START_TIME,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import {TargetRegistry} from '@marigoldspur/target-registry';

function announcement(
  changes: Partial<TargetAnnouncement> = {},
): TargetAnnouncement {
  return {
    id: 't1',
    bornAt: 1_000,
    sequence: 1,
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    slots: 8,
    leaving: false,
    models: [],
    ...changes,
  };
}

function createRegistry(): TargetRegistry {
  return new TargetRegistry({silentAfterMs: 4_000, endRetentionMs: 60_000});
}

it('target registry: an announcement with the same content is not a change', () => {
  const registry = createRegistry();
  expect(registry.announce(announcement(), 0)).to.equal('changed');
  expect(registry.announce(announcement({sequence: 2}), 1)).to.equal(
    'unchanged',
  );
  const leaving = announcement({sequence: 3, leaving: true});
  expect(registry.announce(leaving, 2)).to.equal('changed');
});

it('target registry: a late announcement is ignored', () => {
  const registry = createRegistry();
  registry.announce(announcement({sequence: 5, leaving: true}), 0);
  expect(registry.announce(announcement({sequence: 4}), 1)).to.equal('late');
  expect(registry.targets()[0].leaving).to.equal(true);
});

it('target registry: an announcement after a restart with the same ID is newer', () => {
  const registry = createRegistry();
  registry.announce(announcement({sequence: 50}), 0);
  const restarted = announcement({bornAt: 2_000, sequence: 1});
  expect(registry.announce(restarted, 1)).to.equal('changed');
});

it('target registry: an ended target returns only with a later start', () => {
  const registry = createRegistry();
  registry.announce(announcement(), 0);
  expect(registry.leave('t1', 1)).to.deep.equal({id: 't1', bornAt: 1_000});
  expect(registry.announce(announcement({sequence: 9}), 2)).to.equal('late');
  const restarted = announcement({bornAt: 2_000});
  expect(registry.announce(restarted, 3)).to.equal('changed');
});

it('target registry: an address belongs to the target that started last', () => {
  const registry = createRegistry();
  registry.announce(announcement({id: 't2', bornAt: 5_000}), 0);
  expect(registry.announce(announcement({sequence: 9}), 1)).to.equal('late');
});

it('target registry: silent targets are removed and returned once', () => {
  const registry = createRegistry();
  registry.announce(announcement(), 0);
  expect(registry.removeSilent(4_000)).to.deep.equal([]);
  expect(registry.removeSilent(4_001)).to.deep.equal([
    {id: 't1', bornAt: 1_000},
  ]);
  expect(registry.removeSilent(4_002)).to.deep.equal([]);
});

it('target registry: a software version that announcements of one start contradict is not certain', () => {
  const registry = createRegistry();
  const versionAfter = (changes: Partial<TargetAnnouncement>) => {
    registry.announce(announcement(changes), 0);
    return registry.find('t1')?.softwareVersion;
  };
  expect(versionAfter({softwareVersion: 'v1'})).to.equal('v1');
  expect(versionAfter({sequence: 2, softwareVersion: 'v2'})).to.equal(
    undefined,
  );
  expect(versionAfter({sequence: 3, softwareVersion: 'v2'})).to.equal(
    undefined,
  );
  const restarted = {bornAt: 2_000, softwareVersion: 'v2'};
  expect(versionAfter(restarted)).to.equal('v2');
});

it('target registry: a leave that an answer stated is not taken back by announcements, and a new start has not left', () => {
  const registry = createRegistry();
  registry.announce(announcement(), 0);
  const incarnation = {id: 't1', bornAt: 1_000};
  expect(registry.recordLeave(incarnation)?.leaving).to.equal(true);
  expect(registry.recordLeave(incarnation)).to.equal(undefined);
  registry.announce(announcement({sequence: 2}), 1);
  expect(registry.find('t1')?.leaving).to.equal(true);
  registry.announce(announcement({bornAt: 2_000}), 2);
  expect(registry.find('t1')?.leaving).to.equal(false);
});

it('target registry: a leave counts for a target that is announced here only later', () => {
  const registry = createRegistry();
  expect(registry.recordLeave({id: 't1', bornAt: 1_000})).to.equal(undefined);
  registry.announce(announcement(), 0);
  expect(registry.find('t1')?.leaving).to.equal(true);
});

// Guards against ends that hold only at the replica which a target announced itself to.
it('target registry: the end of a target that was never announced here holds', () => {
  const registry = createRegistry();
  const end = {id: 't1', bornAt: UNKNOWN_START_TIME};
  expect(registry.leave('t1', 0)).to.deep.equal(end);
  expect(registry.ended()).to.deep.equal([end]);
  const late = announcement({bornAt: UNKNOWN_START_TIME});
  expect(registry.announce(late, 1)).to.equal('late');
  expect(registry.announce(announcement(), 2)).to.equal('changed');
});

it('target registry: a limited number of ends of unknown targets is remembered', () => {
  const registry = createRegistry();
  for (let index = 0; index < 5_000; index += 1) {
    registry.leave(`unknown-${index}`, 0);
  }
  expect(registry.ended()).to.have.length(4_096);
  expect(registry.ended().at(-1)?.id).to.equal('unknown-4999');
});
