import {expect} from 'chai';
import {OutageReserve} from '@marigoldspur/tenant-quotas';

const TOLERANCE = {windowMs: 8_000, ratio: 0.1, slack: 800};
/** Units of all reserves together: half of the slack. */
const ALL_UNITS = 400;
const WINDOW_MS = 8_300;
const ENTRIES = 4;

let reserve: OutageReserve;

beforeEach(() => {
  reserve = new OutageReserve({tolerance: TOLERANCE, startedAt: 0});
  reserve.recordEntries(ENTRIES, 0);
});

/** Takes single units until there are none. */
function takeAll(now: number, tenant = 't'): number {
  let taken = 0;
  while (reserve.take({tenant, amount: 1}, now)) {
    taken += 1;
  }
  return taken;
}

it('outage reserve: an entry has its part of the tolerance in each window, for each tenant', () => {
  expect(takeAll(10_000)).to.equal(ALL_UNITS / ENTRIES);
  expect(takeAll(10_000 + WINDOW_MS - 1)).to.equal(0);
  expect(takeAll(10_000 + WINDOW_MS - 1, 'u')).to.equal(ALL_UNITS / ENTRIES);
  expect(takeAll(20_000)).to.equal(ALL_UNITS / ENTRIES);
});

// Guards against an entry that restarts during an outage and uses its part twice.
it('outage reserve: nothing is granted in the first window after the start', () => {
  expect(takeAll(WINDOW_MS - 1)).to.equal(0);
  expect(takeAll(WINDOW_MS)).to.equal(ALL_UNITS / ENTRIES);
});

it('outage reserve: nothing is granted while the number of entries is not known', () => {
  reserve = new OutageReserve({tolerance: TOLERANCE, startedAt: 0});
  expect(takeAll(10_000)).to.equal(0);
});

// Guards against parts that grow while entries are cut off that still have theirs.
it('outage reserve: fewer entries count after ten minutes, more at once', () => {
  reserve.recordEntries(1, 10_000);
  expect(takeAll(10_000)).to.equal(ALL_UNITS / ENTRIES);
  reserve.recordEntries(8, 30_000);
  expect(takeAll(30_000)).to.equal(ALL_UNITS / 8);
  for (const now of [700_000, 1_300_001, 1_900_002]) {
    reserve.recordEntries(2, now);
  }
  expect(takeAll(1_900_002)).to.equal(ALL_UNITS / 2);
});

it('outage reserve: units that were not used can be taken again', () => {
  const part = ALL_UNITS / ENTRIES;
  expect(reserve.take({tenant: 't', amount: part}, 10_000)).to.equal(true);
  reserve.putBack({tenant: 't', amount: part}, 10_100);
  expect(takeAll(10_200)).to.equal(part);
});
