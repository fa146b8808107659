import {expect} from 'chai';
import fc from 'fast-check';
import {createLoadOrder} from '@marigoldspur/load-order';
import {
  PermitQueue,
  type PermitQueueOptions,
  type RequestedLoad,
} from '@marigoldspur/load-permits';

const VALID_MS = 5_000;
const SEED = 20_260;

function createQueue(part: Partial<PermitQueueOptions> = {}): PermitQueue {
  return new PermitQueue({
    order: () => createLoadOrder('least-harm'),
    loadsAtOnce: 1,
    validMs: VALID_MS,
    queueLimit: 100,
    patience: () => 1,
    overloadPatience: () => 0.3,
    overloadAfterMs: () => 10_000,
    overloadEndsAfterMs: 10_000,
    prefetchReserve: 0.5,
    ...part,
  });
}

function load(id: string, part: Partial<RequestedLoad> = {}): RequestedLoad {
  return {
    id,
    model: id,
    askedAt: 0,
    waiters: 1,
    priority: 5,
    deadline: 10_000,
    ...part,
  };
}

it('permit queue: one load runs at a time', () => {
  const permits = createQueue();
  permits.enqueue(load('a'));
  permits.enqueue(load('b'));
  expect(permits.grantNext(0)?.id).to.equal('a');
  expect(permits.grantNext(0)).to.equal(undefined);
  permits.release('a', 'loaded', 250);
  expect(permits.grantNext(250)?.id).to.equal('b');
});

it('permit queue: an unreturned permit expires', () => {
  const permits = createQueue();
  permits.enqueue(load('a'));
  permits.enqueue(load('b'));
  permits.grantNext(0);
  expect(permits.nextEventAt(1)).to.equal(VALID_MS);
  expect(permits.grantNext(VALID_MS - 1)).to.equal(undefined);
  expect(permits.grantNext(VALID_MS)?.id).to.equal('b');
});

it('permit queue: a failed load backs off while others proceed', () => {
  const permits = createQueue();
  permits.enqueue(load('bad'));
  permits.grantNext(0);
  permits.release('bad', 'failed', 100);
  permits.enqueue(load('bad'));
  expect(permits.grantNext(100)).to.equal(undefined);
  permits.enqueue(load('good'));
  expect(permits.grantNext(100)?.id).to.equal('good');
  permits.release('good', 'loaded', 200);
  expect(permits.grantNext(permits.nextEventAt(200)!)?.id).to.equal('bad');
});

it('permit queue: an unused permit does not count as a failure', () => {
  const permits = createQueue();
  permits.enqueue(load('a'));
  permits.grantNext(0);
  permits.release('a', 'unused', 1);
  permits.enqueue(load('a'));
  expect(permits.grantNext(1)?.id).to.equal('a');
});

it('permit queue: a withdrawn load is not granted', () => {
  const permits = createQueue();
  permits.enqueue(load('a'));
  permits.withdraw('a');
  expect(permits.grantNext(0)).to.equal(undefined);
});

it('permit queue: loads that would miss their deadline are refused at once', () => {
  const permits = createQueue();
  permits.enqueue(load('running'));
  permits.grantNext(0);
  permits.enqueue(load('in-time', {deadline: 700, waiters: 2}));
  permits.enqueue(load('late', {deadline: 700}));
  expect(permits.dropLate(0).map(({id}) => id)).to.deep.equal(['late']);
  expect(permits.size).to.equal(1);
});

it('permit queue: with patience 0 loads are refused only after their deadline', () => {
  const permits = createQueue({patience: () => 0});
  permits.enqueue(load('in-time', {deadline: 700, waiters: 2}));
  permits.enqueue(load('late', {deadline: 700}));
  permits.enqueue(load('later', {deadline: 700}));
  expect(permits.dropLate(0)).to.deep.equal([]);
  expect(permits.dropLate(700)).to.have.length(3);
});

it('permit queue: a full queue refuses the loads that cause the least harm', () => {
  const permits = createQueue({queueLimit: 1});
  permits.enqueue(load('one'));
  permits.enqueue(load('two', {waiters: 2}));
  expect(permits.dropLate(0).map(({id}) => id)).to.deep.equal(['one']);
});

it('permit queue: prefetches run only while no demanded load waits, and respect the reserve', () => {
  const permits = createQueue();
  permits.enqueue(load('ahead', {waiters: 0}));
  permits.enqueue(load('ahead-too', {waiters: 0}));
  permits.enqueue(load('wanted'));
  expect(permits.grantNext(0)?.id).to.equal('wanted');
  permits.release('wanted', 'loaded', 300);
  expect(permits.grantNext(300)?.id).to.equal('ahead');
  permits.release('ahead', 'loaded', 600);
  expect(permits.grantNext(600)).to.equal(undefined);
  expect(permits.grantNext(permits.nextEventAt(600)!)?.id).to.equal(
    'ahead-too',
  );
});

it('permit queue: concurrency stays within the limit and every request is granted or refused', () => {
  const requests = fc.array(
    fc.record({
      model: fc.nat(8),
      gapMs: fc.nat(400),
      loadMs: fc.integer({min: 1, max: 900}),
      fails: fc.boolean(),
    }),
    {minLength: 1, maxLength: 40, size: 'max'},
  );
  fc.assert(
    fc.property(requests, fc.integer({min: 1, max: 3}), (steps, limit) => {
      const permits = createQueue({loadsAtOnce: limit});
      const requested = new Set<string>();
      const ended = new Set<string>();
      const running = new Map<string, {endsAt: number; fails: boolean}>();
      const settle = (now: number, plan: {loadMs: number; fails: boolean}) => {
        for (const [id, {endsAt, fails}] of running) {
          if (endsAt <= now) {
            running.delete(id);
            permits.release(id, fails ? 'failed' : 'loaded', now);
          }
        }
        permits.dropLate(now).forEach(({id}) => ended.add(id));
        let granted = permits.grantNext(now);
        while (granted !== undefined) {
          ended.add(granted.id);
          running.set(granted.id, {
            endsAt: now + plan.loadMs,
            fails: plan.fails,
          });
          granted = permits.grantNext(now);
        }
        expect(running.size).to.be.at.most(limit);
      };
      let now = 0;
      steps.forEach((step, index) => {
        now += step.gapMs;
        const id = `q${index}`;
        requested.add(id);
        permits.enqueue(
          load(id, {
            model: `m${step.model}`,
            askedAt: now,
            deadline: now + 5_000,
          }),
        );
        settle(now, step);
      });
      for (let extra = 0; extra < 200; extra += 1) {
        now += 500;
        settle(now, {loadMs: 100, fails: false});
      }
      expect(ended).to.deep.equal(requested);
    }),
    {seed: SEED, numRuns: 200},
  );
});
