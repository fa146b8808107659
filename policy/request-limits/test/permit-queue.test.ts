import {expect} from 'chai';
import {PermitQueue, type PermitDecision} from '@marigoldspur/request-limits';

const WINDOW_MS = 4_000;

/** Asks for a permit; returns the decision, which may come later. */
function ask(
  queue: PermitQueue,
  now: number,
  {priority = 1, maxWaitMs = 0} = {},
): {decision?: PermitDecision} {
  const asked: {decision?: PermitDecision} = {};
  const settle = (decision: PermitDecision) => (asked.decision = decision);
  queue.request({priority, maxWaitMs, settle}, now);
  return asked;
}

function createQueue(perSecond: number): PermitQueue {
  const queue = new PermitQueue(0);
  queue.setRate(perSecond, 0);
  return queue;
}

/** Times of the permits that calls get which ask three times each 10 ms. */
function grantTimes(queues: PermitQueue[], endMs: number): number[] {
  const times: number[] = [];
  for (let now = 0; now < endMs; now += 10) {
    for (const queue of queues) {
      for (let call = 0; call < 3; call += 1) {
        if (ask(queue, now).decision?.isGranted) {
          times.push(now);
        }
      }
    }
  }
  return times;
}

function busiestWindow(times: number[]): number {
  return Math.max(
    ...times.map(
      start => times.filter(at => at >= start && at < start + WINDOW_MS).length,
    ),
  );
}

for (const perSecond of [0.5, 1, 1.7, 8, 40, 200]) {
  it(`permit queue: ${perSecond} a second, with a stand-in beside it, stay within one and a half times that and five more`, () => {
    const standIn = createQueue(perSecond / 2);
    const times = grantTimes([createQueue(perSecond), standIn], 20_000);
    expect(busiestWindow(times)).to.be.at.most(1.5 * perSecond * 4 + 5);
  });

  it(`permit queue: most of ${perSecond} a second is granted`, () => {
    const times = grantTimes([createQueue(perSecond)], 20_000);
    expect(times.length).to.be.above(0.7 * perSecond * 20);
  });
}

it('permit queue: a limit of none a second lets a few calls through, to learn when it ends', () => {
  const times = grantTimes([createQueue(0)], 20_000);
  expect(times.length).to.be.within(1, 5);
});

it('permit queue: a call that would wait too long is refused at once with the time to come back', () => {
  const queue = createQueue(2);
  const {decision} = ask(queue, 0, {maxWaitMs: 400});
  expect(decision).to.deep.equal({isGranted: false, waitMs: 500});
});

it('permit queue: a waiting call gets the next permit', () => {
  const queue = createQueue(2);
  const asked = ask(queue, 0, {maxWaitMs: 600});
  expect(asked.decision).to.equal(undefined);
  expect(queue.nextDueMs(0)).to.equal(500);
  queue.advance(500);
  expect(asked.decision?.isGranted).to.equal(true);
});

it('permit queue: a more urgent call overtakes one that waits', () => {
  const queue = createQueue(2);
  const late = ask(queue, 0, {priority: 2, maxWaitMs: 900});
  const urgent = ask(queue, 100, {priority: 0, maxWaitMs: 900});
  queue.advance(500);
  expect(urgent.decision?.isGranted).to.equal(true);
  expect(late.decision).to.equal(undefined);
  queue.advance(900);
  expect(late.decision?.isGranted).to.equal(false);
  expect(late.decision?.waitMs).to.be.above(0);
});

it('permit queue: a call that does not wait does not overtake one that does', () => {
  const queue = createQueue(2);
  ask(queue, 0, {maxWaitMs: 600});
  expect(ask(queue, 499).decision?.isGranted).to.equal(false);
});

it('permit queue: a rate that falls holds at once', () => {
  const queue = createQueue(100);
  grantTimes([queue], 1_000);
  queue.setRate(1, 1_000);
  const times: number[] = [];
  for (let now = 1_000; now < 5_000; now += 10) {
    if (ask(queue, now).decision?.isGranted) {
      times.push(now);
    }
  }
  expect(times.length).to.be.at.most(6);
});
