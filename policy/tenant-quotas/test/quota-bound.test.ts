import {expect} from 'chai';
import fc from 'fast-check';
import type {Quota} from '@marigoldspur/deployment';
import {
  QuotaWorld,
  type Disturbance,
  type SimulatedCall,
  type Use,
} from './quota-world.js';

const MS_PER_SECOND = 1_000;
const DURATION_MS = 20_000;
/** Time after its commit within which a lowered limit has to bind. */
const LOWERED_WITHIN_MS = 2_500;
const ENTRIES = 4;
const GROUPS = [
  ['http://a', 'http://b', 'http://c'],
  ['http://b', 'http://c', 'http://d'],
  ['http://a', 'http://c', 'http://d', 'http://e', 'http://f'],
  ['http://a', 'http://b', 'http://c', 'http://d'],
];

const QUOTA: fc.Arbitrary<Quota> = fc.record({
  unit: fc.constant('tokens' as const),
  perSecond: fc.integer({min: 100, max: 1_000}),
  burst: fc.integer({min: 100, max: 3_000}),
  defaultCost: fc.constant(1),
});
const DELAY_MS = fc.oneof(
  {weight: 20, arbitrary: fc.integer({min: 0, max: 140})},
  {weight: 1, arbitrary: fc.integer({min: 0, max: 1_000})},
);
const WAY = fc.record({
  thereMs: DELAY_MS,
  backMs: DELAY_MS,
  isLost: fc.integer({min: 0, max: 99}).map(value => value === 0),
});
/** Time without any target, after which the calls that wait are all sent at once. */
const OUTAGE = {from: 6_000, to: 11_000};
const ANY_CALL: fc.Arbitrary<SimulatedCall> = fc.record({
  at: fc.integer({min: 0, max: DURATION_MS}),
  entry: fc.nat({max: ENTRIES - 1}),
  amount: fc.integer({min: 20, max: 300}),
  searchMs: fc.oneof(
    {weight: 6, arbitrary: fc.constant(0)},
    {weight: 1, arbitrary: fc.integer({min: 0, max: 400})},
    {weight: 1, arbitrary: fc.integer({min: 0, max: 6_000})},
  ),
  isRefused: fc.integer({min: 0, max: 9}).map(value => value === 0),
  ways: fc.array(WAY, {minLength: 6, maxLength: 6}),
});
const CALL = fc
  .tuple(
    ANY_CALL,
    fc.integer({min: 0, max: 3}).map(value => value === 0),
  )
  .map(([call, isInOutage]) =>
    isInOutage && call.at > OUTAGE.from && call.at < OUTAGE.to
      ? {...call, searchMs: OUTAGE.to - call.at}
      : call,
  );
/** The primary and the stand-in are disturbed most. */
const DISTURBANCE: fc.Arbitrary<Disturbance> = fc.record({
  kind: fc.constantFrom(
    'cut',
    'freeze',
    'restart',
    'entry-freeze',
    'members',
    'quota',
  ),
  at: fc.integer({min: 0, max: DURATION_MS}),
  forMs: fc.oneof(
    fc.integer({min: 10, max: 500}),
    fc.integer({min: 10, max: 8_000}),
  ),
  which: fc.constantFrom(0, 0, 0, 1, 1, 2, 3),
});
const TOLERANCE = fc.record({
  windowMs: fc.constant(8_000),
  ratio: fc.constant(0.1),
  slack: fc.constantFrom(0, 0, 0, 1_000),
});

/** Finds a window in which more is used than the bound allows; undefined if there is none. */
function findExcess(
  uses: readonly Use[],
  windowMs: number,
  boundOf: (from: number, to: number) => number,
) {
  const sorted = [...uses].sort((a, b) => a.at - b.at);
  for (const [index, {at}] of sorted.entries()) {
    let used = 0;
    for (const use of sorted.slice(index)) {
      if (use.at > at + windowMs) {
        break;
      }
      used += use.amount;
    }
    const bound = boundOf(at, at + windowMs);
    if (used > bound + 1e-6) {
      return {at, used, bound};
    }
  }
  return undefined;
}

it('quota bound: no window holds more than the bound, whatever is late, lost, cut, frozen or restarted', () => {
  fc.assert(
    fc.property(
      TOLERANCE,
      fc.oneof(fc.tuple(QUOTA), fc.array(QUOTA, {minLength: 2, maxLength: 3})),
      fc.array(fc.integer({min: -300, max: 300}), {minLength: 6, maxLength: 6}),
      fc.array(CALL, {minLength: 150, maxLength: 300, size: 'max'}),
      fc.array(DISTURBANCE, {maxLength: 8}),
      (tolerance, quotas, applyMs, calls, disturbances) => {
        const world = new QuotaWorld({
          tolerance,
          quotas,
          groups: GROUPS,
          applyMs,
          entries: ENTRIES,
          calls,
          disturbances,
        });
        world.run();
        const {ratio, slack, windowMs} = tolerance;
        const boundOf = (from: number, to: number) =>
          Math.max(
            ...world
              .quotasIn(from, to, LOWERED_WITHIN_MS)
              .map(
                ({burst, perSecond}) =>
                  ((perSecond * windowMs) / MS_PER_SECOND + burst) *
                    (1 + ratio) +
                  slack,
              ),
          );
        expect(findExcess(world.uses, windowMs, boundOf)).to.equal(undefined);
      },
    ),
    {numRuns: 200, endOnFailure: true},
  );
}).timeout(60_000);

it('quota bound: a request within the quota is not refused while the primary is reachable, whichever entry it comes to', () => {
  fc.assert(
    fc.property(
      QUOTA,
      fc.array(CALL, {minLength: 50, maxLength: 150, size: 'max'}),
      (quota, calls) => {
        const maxWayMs = 140;
        // Calls reach the primary closer together than the entries, by the time of a message.
        const lateUnits = (quota.perSecond * maxWayMs) / MS_PER_SECOND;
        let room = quota.burst - lateUnits;
        let filledAt = 0;
        const conforming = [...calls]
          .sort((a, b) => a.at - b.at)
          .filter(({amount, at}) => {
            const added = (quota.perSecond * (at - filledAt)) / MS_PER_SECOND;
            room = Math.min(quota.burst - lateUnits, room + added);
            filledAt = at;
            const fits = amount <= room;
            room -= fits ? amount : 0;
            return fits;
          })
          .map(call => ({
            ...call,
            searchMs: 0,
            ways: call.ways.map(({backMs, thereMs}) => ({
              thereMs: Math.min(thereMs, maxWayMs),
              backMs: Math.min(backMs, maxWayMs),
              isLost: false,
            })),
          }));
        const world = new QuotaWorld({
          tolerance: {windowMs: 8_000, ratio: 0.1, slack: 0},
          quotas: [quota],
          groups: GROUPS.slice(0, 1),
          applyMs: [0],
          entries: ENTRIES,
          calls: conforming,
          disturbances: [],
        });
        world.run();
        expect(world.refusals).to.equal(0);
      },
    ),
    {numRuns: 200, endOnFailure: true},
  );
}).timeout(60_000);
