import {expect} from 'chai';
import type {StreamOrigin, TargetAnnouncement} from '@marigoldspur/deployment';
import {
  mayContinue,
  SoftwareVersionHistory,
  StreamOriginLedger,
} from '@marigoldspur/stream-origins';

const SECOND_MS = 1_000;

function target(changes: Partial<TargetAnnouncement> = {}): TargetAnnouncement {
  return {
    id: 'i1',
    bornAt: 5,
    sequence: 1,
    service: 's',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 4,
    softwareVersion: 'v1',
    leaving: false,
    models: [],
    ...changes,
  };
}

function origin(changes: Partial<StreamOrigin> = {}): StreamOrigin {
  return {
    call: 'c1',
    request: 'r',
    id: 'i1',
    bornAt: 5,
    service: 's',
    softwareVersion: 'v1',
    ageMs: 0,
    ...changes,
  };
}

it('may continue: targets of the version that began the stream', () => {
  expect(mayContinue(target({id: 'i2'}), origin())).to.equal(true);
  expect(
    mayContinue(target({id: 'i2', softwareVersion: 'v2'}), origin()),
  ).to.equal(false);
  expect(mayContinue(target({service: 't'}), origin())).to.equal(false);
});

it('may continue: an uncertain version goes on only at the same start of the same target', () => {
  const uncertain = origin({softwareVersion: undefined});
  const unknown = {softwareVersion: undefined};
  expect(mayContinue(target(unknown), uncertain)).to.equal(true);
  expect(mayContinue(target({...unknown, bornAt: 6}), uncertain)).to.equal(
    false,
  );
  expect(mayContinue(target({...unknown, id: 'i2'}), uncertain)).to.equal(
    false,
  );
});

it('may continue: targets that announce no version are of one version', () => {
  const none = {softwareVersion: ''};
  expect(mayContinue(target({...none, id: 'i2'}), origin(none))).to.equal(true);
});

it('software version history: a version counts for a minute after its last target', () => {
  const history = new SoftwareVersionHistory(0);
  let now = 20 * SECOND_MS;
  history.record([target(), target({softwareVersion: 'v2'})], now);
  expect(history.certaintyOf('s', now)).to.equal('several');
  for (let count = 0; count <= 60; count += 1) {
    now += SECOND_MS;
    history.record([target()], now);
    expect(history.certaintyOf('s', now)).to.equal('several');
  }
  now += SECOND_MS;
  history.record([target()], now);
  expect(history.certaintyOf('s', now)).to.equal('one');
});

it('software version history: versions whose targets do not change count for as long as they serve', () => {
  const history = new SoftwareVersionHistory(0);
  const now = 20 * SECOND_MS;
  history.record([target(), target({softwareVersion: 'v2'})], now);
  expect(history.certaintyOf('s', 600 * SECOND_MS)).to.equal('several');
  history.record([target()], 600 * SECOND_MS);
  expect(history.certaintyOf('s', 659 * SECOND_MS)).to.equal('several');
  expect(history.certaintyOf('s', 661 * SECOND_MS)).to.equal('one');
});

it('software version history: one version is not certain while streams from before the start may go on', () => {
  const history = new SoftwareVersionHistory(0);
  history.record([target()], SECOND_MS);
  expect(history.certaintyOf('s', SECOND_MS)).to.equal('unknown');
  expect(history.certaintyOf('s', 59 * SECOND_MS)).to.equal('unknown');
  expect(history.certaintyOf('s', 61 * SECOND_MS)).to.equal('one');
});

it('software version history: the only recorded version is not the only one if another is known', () => {
  const history = new SoftwareVersionHistory(0);
  const recorded = [{service: 's', softwareVersion: 'v1'}];
  history.record([target()], SECOND_MS);
  expect(history.isOnlyVersion('s', recorded, SECOND_MS)).to.equal(true);
  expect(history.isOnlyVersion('t', recorded, SECOND_MS)).to.equal(false);
  history.record([target(), target({softwareVersion: 'v2'})], SECOND_MS);
  expect(history.isOnlyVersion('s', recorded, SECOND_MS)).to.equal(false);
});

it('software version history: a process that starts learns what others saw', () => {
  const known = new SoftwareVersionHistory(0);
  known.record([target({softwareVersion: 'v0'})], 40 * SECOND_MS);
  known.record([target()], 50 * SECOND_MS);
  const started = new SoftwareVersionHistory(80 * SECOND_MS);
  const now = 80 * SECOND_MS;
  started.merge(known.snapshot(now), false, now);
  expect(started.certaintyOf('s', now)).to.equal('several');
  expect(started.certaintyOf('t', now)).to.equal('unknown');
  started.merge(known.snapshot(now), true, now);
  expect(started.certaintyOf('t', now)).to.equal('one');
});

it('software version history: origins of streams show versions whose targets announced themselves elsewhere', () => {
  const history = new SoftwareVersionHistory(0);
  const now = 80 * SECOND_MS;
  history.record([target({softwareVersion: 'v2'})], now);
  history.recordOrigins([origin({ageMs: 30 * SECOND_MS})], now);
  expect(history.certaintyOf('s', now)).to.equal('several');
  expect(history.certaintyOf('s', now + 31 * SECOND_MS)).to.equal('one');
});

it('software version history: contradicting announcements count as several versions', () => {
  const history = new SoftwareVersionHistory(0);
  const now = 20 * SECOND_MS;
  history.record([target({softwareVersion: undefined})], now);
  expect(history.certaintyOf('s', now)).to.equal('several');
});

it('stream origin ledger: the first origin of a call stays, and is forgotten after a minute', () => {
  const ledger = new StreamOriginLedger();
  expect(ledger.add([origin()], 0)).to.have.length(1);
  expect(ledger.add([origin({softwareVersion: 'v2'})], 1)).to.have.length(0);
  expect(ledger.find('c1')?.softwareVersion).to.equal('v1');
  ledger.add([origin({call: 'c2'})], 61 * SECOND_MS);
  expect(ledger.find('c1')).to.equal(undefined);
});

it('stream origin ledger: the last streams of a target that started anew are uncertain', () => {
  const ledger = new StreamOriginLedger();
  ledger.add([origin({call: 'early'})], 0);
  ledger.add([origin({call: 'late'})], 4 * SECOND_MS);
  ledger.add([origin({call: 'other', id: 'i2'})], 4 * SECOND_MS);
  const retracted = ledger.retractLast({id: 'i1', bornAt: 9}, 5 * SECOND_MS);
  expect(retracted.map(({call}) => call)).to.deep.equal(['late']);
  expect(ledger.find('late')?.softwareVersion).to.equal(undefined);
  expect(ledger.find('early')?.softwareVersion).to.equal('v1');
  const other = new StreamOriginLedger();
  other.add([origin({call: 'late'})], 4 * SECOND_MS);
  expect(other.add(retracted, 5 * SECOND_MS)).to.have.length(1);
  expect(other.find('late')?.softwareVersion).to.equal(undefined);
});
