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

function createQueue(overrides: Partial<PermitQueueOptions> = {}): PermitQueue {
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
    ...overrides,
  });
}

function load(
  id: string,
  overrides: Partial<RequestedLoad> = {},
): RequestedLoad {
  return {
    id,
    model: id,
    askedAt: 0,
    waiters: 1,
    priority: 5,
    deadline: 10_000,
    ...overrides,
  };
}

it('permit queue: one load runs at a time', () => {
  const queue = createQueue();
  queue.enqueue(load('a'));
  queue.enqueue(load('b'));
  expect(queue.grantNext(0)?.id).to.equal('a');
  expect(queue.grantNext(0)).to.equal(undefined);
  queue.release('a', 'loaded', 250);
  expect(queue.grantNext(250)?.id).to.equal('b');
});

it('permit queue: an unreturned permit expires', () => {
  const queue = createQueue();
  queue.enqueue(load('a'));
  queue.enqueue(load('b'));
  queue.grantNext(0);
  expect(queue.nextEventAt(1)).to.equal(VALID_MS);
  expect(queue.grantNext(VALID_MS - 1)).to.equal(undefined);
  expect(queue.grantNext(VALID_MS)?.id).to.equal('b');
});

it('permit queue: a failed load backs off while others proceed', () => {
  const queue = createQueue();
  queue.enqueue(load('bad'));
  queue.grantNext(0);
  queue.release('bad', 'failed', 100);
  queue.enqueue(load('bad'));
  expect(queue.grantNext(100)).to.equal(undefined);
  queue.enqueue(load('good'));
  expect(queue.grantNext(100)?.id).to.equal('good');
  queue.release('good', 'loaded', 200);
  expect(queue.grantNext(queue.nextEventAt(200)!)?.id).to.equal('bad');
});

it('permit queue: an unused permit does not count as a failure', () => {
  const queue = createQueue();
  queue.enqueue(load('a'));
  queue.grantNext(0);
  queue.release('a', 'unused', 1);
  queue.enqueue(load('a'));
  expect(queue.grantNext(1)?.id).to.equal('a');
});

it('permit queue: a withdrawn load is not granted', () => {
  const queue = createQueue();
  queue.enqueue(load('a'));
  queue.withdraw('a');
  expect(queue.grantNext(0)).to.equal(undefined);
});

it('permit queue: loads that would miss their deadline are refused at once', () => {
  const queue = createQueue();
  queue.enqueue(load('running'));
  queue.grantNext(0);
  queue.enqueue(load('in-time', {deadline: 700, waiters: 2}));
  queue.enqueue(load('late', {deadline: 700}));
  expect(queue.dropLate(0).map(({id}) => id)).to.deep.equal(['late']);
  expect(queue.size).to.equal(1);
});

it('permit queue: with patience 0 loads are refused only after their deadline', () => {
  const queue = createQueue({patience: () => 0});
  queue.enqueue(load('in-time', {deadline: 700, waiters: 2}));
  queue.enqueue(load('late', {deadline: 700}));
  queue.enqueue(load('later', {deadline: 700}));
  expect(queue.dropLate(0)).to.deep.equal([]);
  expect(queue.dropLate(700)).to.have.length(3);
});

it('permit queue: a full queue refuses the loads whose refusal causes the least harm', () => {
  const queue = createQueue({queueLimit: 1});
  queue.enqueue(load('one'));
  queue.enqueue(load('two', {waiters: 2}));
  expect(queue.dropLate(0).map(({id}) => id)).to.deep.equal(['one']);
});

it('permit queue: prefetches run only while no demanded load waits, and respect the reserve', () => {
  const queue = createQueue();
  queue.enqueue(load('prefetch', {waiters: 0}));
  queue.enqueue(load('other-prefetch', {waiters: 0}));
  queue.enqueue(load('demanded'));
  expect(queue.grantNext(0)?.id).to.equal('demanded');
  queue.release('demanded', 'loaded', 300);
  expect(queue.grantNext(300)?.id).to.equal('prefetch');
  queue.release('prefetch', 'loaded', 600);
  expect(queue.grantNext(600)).to.equal(undefined);
  expect(queue.grantNext(queue.nextEventAt(600)!)?.id).to.equal(
    'other-prefetch',
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
      const queue = createQueue({loadsAtOnce: limit});
      const requested = new Set<string>();
      const ended = new Set<string>();
      const running = new Map<string, {endsAt: number; fails: boolean}>();
      const settle = (now: number, plan: {loadMs: number; fails: boolean}) => {
        for (const [id, {endsAt, fails}] of running) {
          if (endsAt <= now) {
            running.delete(id);
            queue.release(id, fails ? 'failed' : 'loaded', now);
          }
        }
        queue.dropLate(now).forEach(({id}) => ended.add(id));
        let granted = queue.grantNext(now);
        while (granted !== undefined) {
          ended.add(granted.id);
          running.set(granted.id, {
            endsAt: now + plan.loadMs,
            fails: plan.fails,
          });
          granted = queue.grantNext(now);
        }
        expect(running.size).to.be.at.most(limit);
      };
      let now = 0;
      steps.forEach((step, index) => {
        now += step.gapMs;
        const id = `q${index}`;
        requested.add(id);
        queue.enqueue(
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
