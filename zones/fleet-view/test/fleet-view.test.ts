import {expect} from 'chai';
import {
  UNKNOWN_START_TIME,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import {FleetView} from '@marigoldspur/fleet-view';

function target(changes: Partial<TargetAnnouncement> = {}): TargetAnnouncement {
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

function ids(view: FleetView): string[] {
  return view.targets().map(({id}) => id);
}

it('fleet view: a lower revision never replaces a higher one', () => {
  const view = new FleetView();
  view.applyDeployment({revision: 3, text: 'three'});
  const change = view.applyDeployment({revision: 2, text: 'two'});
  expect(change.hasNewDeployment).to.equal(false);
  expect(view.deployment?.text).to.equal('three');
});

it('fleet view: the newest announcement of all replicas is used', () => {
  const view = new FleetView();
  view.applyMessage('a', {
    whole: true,
    targets: [target({sequence: 5, leaving: true})],
  });
  view.applyMessage('b', {whole: true, targets: [target({sequence: 4})]});
  expect(view.targets()[0].leaving).to.equal(true);
});

it('fleet view: a target is known while at least one replica lists it', () => {
  const view = new FleetView();
  view.applyMessage('a', {whole: true, targets: [target()]});
  view.applyMessage('b', {whole: true, targets: [target({sequence: 2})]});
  view.applyMessage('a', {silent: [{id: 't1', bornAt: 1_000}]});
  expect(ids(view)).to.deep.equal(['t1']);
  view.applyMessage('b', {silent: [{id: 't1', bornAt: 1_000}]});
  expect(ids(view)).to.deep.equal([]);
});

it('fleet view: a target that ended is removed and returns with a later start', () => {
  const view = new FleetView();
  view.applyMessage('a', {whole: true, targets: [target()]});
  view.applyMessage('b', {gone: [{id: 't1', bornAt: 1_000}]});
  expect(ids(view)).to.deep.equal([]);
  view.applyMessage('a', {targets: [target({bornAt: 2_000})]});
  expect(ids(view)).to.deep.equal(['t1']);
});

it('fleet view: an address belongs to the target that started last', () => {
  const view = new FleetView();
  view.applyMessage('a', {
    targets: [target(), target({id: 't2', bornAt: 5_000})],
  });
  expect(ids(view)).to.deep.equal(['t2']);
});

it('fleet view: targets are kept while no replica is followed', () => {
  const view = new FleetView();
  view.applyMessage('a', {whole: true, targets: [target()]});
  view.markSourceLost('a', 0);
  view.dropLostSources(60_000);
  expect(ids(view)).to.deep.equal(['t1']);
  view.applyMessage('b', {whole: true, targets: []});
  view.dropLostSources(60_000);
  expect(ids(view)).to.deep.equal([]);
});

it('fleet view: the newest named version of an adapter is kept', () => {
  const view = new FleetView();
  const named = {model: 'm', adapter: 'a3'};
  expect(
    view.applyMessage('a', {versions: [{...named, version: 4}]}).versions,
  ).to.eql(['m/a3']);
  view.applyMessage('b', {versions: [{...named, version: 3}]});
  expect(view.versionOf('m', 'a3')).to.equal(4);
});

it('fleet view: a software version on which replicas do not agree is not certain', () => {
  const view = new FleetView();
  const v1 = target({softwareVersion: 'v1'});
  const v2 = target({sequence: 2, softwareVersion: 'v2'});
  view.applyMessage('a', {whole: true, targets: [v1]});
  expect(view.targets()[0].softwareVersion).to.equal('v1');
  view.applyMessage('b', {whole: true, targets: [v2]});
  expect(view.targets()[0].softwareVersion).to.equal(undefined);
});

it('fleet view: a target that said in an answer that it leaves is leaving whatever replicas list', () => {
  const view = new FleetView();
  view.applyMessage('a', {whole: true, targets: [target()]});
  expect(view.recordLeave({id: 't1', bornAt: 1_000})).to.equal(true);
  expect(view.recordLeave({id: 't1', bornAt: 1_000})).to.equal(false);
  view.applyMessage('b', {whole: true, targets: [target({sequence: 2})]});
  expect(view.targets()[0].leaving).to.equal(true);
  view.applyMessage('a', {targets: [target({bornAt: 2_000})]});
  expect(view.targets()[0].leaving).to.equal(false);
});

// Guards against calls to targets that announced their end to a replica which did not know them.
it('fleet view: an end without a start ends the start that is known, and no later one', () => {
  const gone = [{id: 't1', bornAt: UNKNOWN_START_TIME}];
  for (const bornAt of [UNKNOWN_START_TIME, 1_000]) {
    const view = new FleetView();
    view.applyMessage('a', {whole: true, targets: [target({bornAt})]});
    view.applyMessage('b', {gone});
    expect(ids(view)).to.deep.equal([]);
    view.applyMessage('a', {targets: [target({bornAt, sequence: 2})]});
    expect(ids(view)).to.deep.equal([]);
    view.applyMessage('a', {targets: [target({bornAt: 2_000})]});
    view.applyMessage('b', {whole: true, gone});
    expect(ids(view)).to.deep.equal(['t1']);
  }
});
