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

function queue(part: Partial<PermitQueueOptions> = {}): PermitQueue {
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

it('permits: one load runs at a time', () => {
  const permits = queue();
  permits.enqueue(load('a'));
  permits.enqueue(load('b'));
  expect(permits.grantNext(0)?.id).to.equal('a');
  expect(permits.grantNext(0)).to.equal(undefined);
  permits.release('a', 'loaded', 250);
  expect(permits.grantNext(250)?.id).to.equal('b');
});

it('permits: a permit that is not returned ends by itself', () => {
  const permits = queue();
  permits.enqueue(load('a'));
  permits.enqueue(load('b'));
  permits.grantNext(0);
  expect(permits.nextEventAt(1)).to.equal(VALID_MS);
  expect(permits.grantNext(VALID_MS - 1)).to.equal(undefined);
  expect(permits.grantNext(VALID_MS)?.id).to.equal('b');
});

it('permits: a load that fails backs off, others go on', () => {
  const permits = queue();
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

it('permits: a permit that began no load is no failure', () => {
  const permits = queue();
  permits.enqueue(load('a'));
  permits.grantNext(0);
  permits.release('a', 'unused', 1);
  permits.enqueue(load('a'));
  expect(permits.grantNext(1)?.id).to.equal('a');
});

it('permits: a load that nobody waits for any more is dropped', () => {
  const permits = queue();
  permits.enqueue(load('a'));
  permits.withdraw('a');
  expect(permits.grantNext(0)).to.equal(undefined);
});

it('permits: loads that cannot be in time are refused at once', () => {
  const permits = queue();
  permits.enqueue(load('running'));
  permits.grantNext(0);
  permits.enqueue(load('in-time', {deadline: 700, waiters: 2}));
  permits.enqueue(load('late', {deadline: 700}));
  expect(permits.dropLate(0).map(({id}) => id)).to.deep.equal(['late']);
  expect(permits.size).to.equal(1);
});

it('permits: the same queue without patience refuses nothing early', () => {
  const permits = queue({patience: () => 0});
  permits.enqueue(load('in-time', {deadline: 700, waiters: 2}));
  permits.enqueue(load('late', {deadline: 700}));
  permits.enqueue(load('later', {deadline: 700}));
  expect(permits.dropLate(0)).to.deep.equal([]);
  expect(permits.dropLate(700)).to.have.length(3);
});

it('permits: a full queue refuses what harms least', () => {
  const permits = queue({queueLimit: 1});
  permits.enqueue(load('one'));
  permits.enqueue(load('two', {waiters: 2}));
  expect(permits.dropLate(0).map(({id}) => id)).to.deep.equal(['one']);
});

it('permits: prefetches run only while nothing waits, and on a reserve', () => {
  const permits = queue();
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

it('permits: never more loads than allowed, and each question ends', () => {
  const questions = fc.array(
    fc.record({
      model: fc.nat(8),
      gapMs: fc.nat(400),
      loadMs: fc.integer({min: 1, max: 900}),
      fails: fc.boolean(),
    }),
    {minLength: 1, maxLength: 40, size: 'max'},
  );
  fc.assert(
    fc.property(questions, fc.integer({min: 1, max: 3}), (steps, atOnce) => {
      const permits = queue({loadsAtOnce: atOnce});
      const asked = new Set<string>();
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
        expect(running.size).to.be.at.most(atOnce);
      };
      let now = 0;
      steps.forEach((step, index) => {
        now += step.gapMs;
        const id = `q${index}`;
        asked.add(id);
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
      expect(ended).to.deep.equal(asked);
    }),
    {seed: SEED, numRuns: 200},
  );
});
