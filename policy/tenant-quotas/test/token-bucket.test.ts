import {expect} from 'chai';
import {TokenBucket} from '@marigoldspur/tenant-quotas';

const FIGURES = {perSecond: 100, burst: 200, spare: 0};

it('token bucket: it starts empty, because another process may have granted its burst', () => {
  const bucket = new TokenBucket(FIGURES, 1_000);
  expect(bucket.take(1, 1_000)).to.equal(false);
  expect(bucket.take(50, 1_500)).to.equal(true);
});

it('token bucket: it holds no more than its burst', () => {
  const bucket = new TokenBucket(FIGURES, 0);
  expect(bucket.take(201, 60_000)).to.equal(false);
  expect(bucket.take(200, 60_000)).to.equal(true);
  expect(bucket.take(1, 60_000)).to.equal(false);
});

it('token bucket: a time before the last one adds nothing', () => {
  const bucket = new TokenBucket(FIGURES, 1_000);
  expect(bucket.take(100, 2_000)).to.equal(true);
  expect(bucket.take(1, 500)).to.equal(false);
  expect(bucket.take(100, 2_999)).to.equal(false);
  expect(bucket.take(100, 3_000)).to.equal(true);
});

it('token bucket: a lowered burst binds at once, a raised rate counts from now on', () => {
  const bucket = new TokenBucket(FIGURES, 0);
  bucket.setFigures({perSecond: 10, burst: 20, spare: 0}, 10_000);
  expect(bucket.take(21, 10_000)).to.equal(false);
  expect(bucket.take(20, 10_000)).to.equal(true);
  bucket.setFigures({perSecond: 1_000, burst: 5_000, spare: 0}, 11_000);
  expect(bucket.take(11, 11_000)).to.equal(false);
  expect(bucket.take(1_010, 12_000)).to.equal(true);
});

it('token bucket: units that were not used may be taken again', () => {
  const bucket = new TokenBucket(FIGURES, 0);
  expect(bucket.take(200, 2_000)).to.equal(true);
  bucket.putBack(200, 2_000);
  expect(bucket.take(200, 2_000)).to.equal(true);
});

it('token bucket: units that are held and given back in turns do not pile up', () => {
  const bucket = new TokenBucket(FIGURES, 0);
  let held: {amount: number; until: number}[] = [];
  for (let now = 2_000; now < 12_000; now += 10) {
    held = held.filter(({amount, until}) => {
      if (until <= now) {
        bucket.putBack(amount, now);
      }
      return until > now;
    });
    while (bucket.take(10, now)) {
      held.push({amount: 10, until: now + 300});
    }
  }
  const sum = held.reduce((total, {amount}) => total + amount, 0);
  expect(sum).to.be.at.most(200 + 0.3 * 100);
});

it('token bucket: a part is taken in whole units, nothing from an empty bucket', () => {
  const bucket = new TokenBucket(FIGURES, 0);
  expect(bucket.takeUpTo(500, 1_005)).to.equal(100);
  expect(bucket.takeUpTo(500, 1_005)).to.equal(0);
  expect(bucket.takeUpTo(10, 2_000)).to.equal(10);
});
