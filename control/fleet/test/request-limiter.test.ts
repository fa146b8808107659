import {expect} from 'chai';
import type {TargetLimit} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {RequestLimiter} from '@marigoldspur/fleet';

let limiter: RequestLimiter;
let broadcast: TargetLimit[];

beforeEach(() => {
  broadcast = [];
  limiter = new RequestLimiter({
    events: new EventLog({process: 'test'}),
    onLimits: limits => broadcast.push(...limits),
  });
});

afterEach(() => limiter.stop());

function limit(perSecond?: number, bornAt = 0): TargetLimit {
  return {id: 't', bornAt, perSecond, ageMs: 0};
}

async function isGranted(
  limit: TargetLimit,
  now: number,
  isStandIn = false,
): Promise<boolean> {
  const request = {limit, priority: 0, maxWaitMs: 0, isStandIn};
  return (await limiter.requestPermit(request, now)).isGranted;
}

/** Number of permits that 28 entries get which each ask every 100 ms for 10 s. */
async function countPermits(perSecond: number, isStandIn: boolean) {
  let count = 0;
  for (let now = 0; now < 10_000; now += 100) {
    for (let entry = 0; entry < 28; entry += 1) {
      count += (await isGranted(limit(perSecond), now, isStandIn)) ? 1 : 0;
    }
  }
  return count;
}

it('request limiter: 28 entries together get the permits of the limit', async () => {
  expect(await countPermits(1, false)).to.be.within(9, 11);
});

it('request limiter: a replica that stands in grants half of the limit', async () => {
  expect(await countPermits(2, true)).to.be.within(9, 11);
});

it('request limiter: a limit is passed on once', () => {
  limiter.addLimits([limit(4)], 0);
  limiter.addLimits([limit(4)], 10);
  limiter.addLimits([limit(2)], 20);
  expect(broadcast.map(({perSecond}) => perSecond)).to.deep.equal([4, 2]);
  expect(limiter.limits(30)).to.deep.equal([{...limit(2), ageMs: 10}]);
});

it('request limiter: permits are free once the target states no limit any more, whatever an entry knows', async () => {
  limiter.addLimits([limit(1)], 0);
  limiter.addLimits([limit(undefined)], 1_000);
  const outdated = {...limit(1), ageMs: 500};
  for (let call = 0; call < 5; call += 1) {
    expect(await isGranted(outdated, 1_010)).to.equal(true);
  }
});

it('request limiter: a target that starts anew has permits of its own', async () => {
  expect(await isGranted(limit(1, 1), 0)).to.equal(false);
  expect(await isGranted(limit(1, 1), 1_000)).to.equal(true);
  expect(await isGranted(limit(1, 1), 1_010)).to.equal(false);
  expect(await isGranted(limit(1, 2), 1_020)).to.equal(false);
  expect(await isGranted(limit(1, 2), 2_020)).to.equal(true);
});

it('request limiter: a limit that the target stated long ago still holds', async () => {
  const old = {...limit(1), ageMs: 3_600_000};
  expect(await isGranted(old, 0)).to.equal(false);
  expect(await isGranted(old, 1_000)).to.equal(true);
  expect(await isGranted(old, 1_010)).to.equal(false);
});
