import {expect} from 'chai';
import {CallDurations, DrainAdmission} from '@marigoldspur/drain-admission';

const CALL = {route: 'r', isRepeatable: true, assumedMs: 500};

function admission(...durations: readonly number[]): DrainAdmission {
  const recorded = new CallDurations();
  durations.forEach(ms => recorded.record('r', ms));
  return new DrainAdmission(recorded);
}

it('drain admission: every call may be sent before the shutdown begins', () => {
  expect(admission(60_000).maySend(CALL, 1e9)).to.equal(true);
});

it('drain admission: a call may be sent until its expected time before the end', () => {
  const drain = admission(100, 100, 100);
  drain.begin(1_000);
  expect(drain.maySend(CALL, 900)).to.equal(true);
  expect(drain.maySend(CALL, 901)).to.equal(false);
});

it('drain admission: a call that may not be repeated needs twice its expected time', () => {
  const drain = admission(100);
  drain.begin(1_000);
  const call = {...CALL, isRepeatable: false};
  expect(drain.maySend(call, 800)).to.equal(true);
  expect(drain.maySend(call, 801)).to.equal(false);
});

it('drain admission: a route without a call so far takes its assumed time', () => {
  const drain = admission();
  drain.begin(1_000);
  expect(drain.maySend(CALL, 500)).to.equal(true);
  expect(drain.maySend(CALL, 501)).to.equal(false);
});

it('call durations: the slow twentieth of the latest calls does not count', () => {
  const durations = new CallDurations();
  for (let call = 0; call < 200; call += 1) {
    durations.record('r', call % 25 === 0 ? 9_000 : 100 + (call % 7));
  }
  expect(durations.expectedMs('r')).to.be.within(100, 107);
  expect(durations.expectedMs('other')).to.equal(undefined);
});

it('call durations: calls of long ago are forgotten', () => {
  const durations = new CallDurations();
  durations.record('r', 9_000);
  for (let call = 0; call < 64; call += 1) {
    durations.record('r', 10);
  }
  expect(durations.expectedMs('r')).to.equal(10);
});
