import {expect} from 'chai';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {TargetSelector} from '@marigoldspur/direct-routing';
import {createRandom} from './test-fleet.js';

/** Latency objective of plain calls, in milliseconds. */
const OBJECTIVE_MS = 151;
/** Deadline of plain calls, in milliseconds. */
const DEADLINE_MS = 639;
/**
 * Time after which an entry has seen some 25 calls, in milliseconds; before, all targets count
 * as equally fast.
 */
const LEARNED_MS = 10_000;
const SLOTS = 4;
const SERVICE = {name: 'p', healthPath: '/', maxConnections: 100};
const ROUTE = {name: 'r', streaming: false};
const NEEDS = {service: SERVICE, route: ROUTE, excluded: new Set<string>()};

interface Running {
  readonly target: number;
  readonly sentAt: number;
  remainingMs: number;
  end(now: number): void;
}

function targetsOf(count: number): TargetAnnouncement[] {
  return Array.from({length: count}, (_, index) => ({
    id: `t${index}`,
    bornAt: 1,
    sequence: 1,
    service: 'p',
    address: `10.0.0.${index}:80`,
    zone: 'z',
    slots: SLOTS,
    leaving: false,
    models: [],
  }));
}

function createSelector(
  targets: readonly TargetAnnouncement[],
  random: () => number,
): TargetSelector {
  return new TargetSelector({
    zone: 'z',
    targets: () => targets,
    engineView: () => undefined,
    random,
  });
}

function response(running: number, pace?: number) {
  return {
    matchesCallId: true,
    isAttested: true,
    hasNotRun: false,
    isMisdirected: false,
    isLeaving: false,
    load: {running, waiting: 0, slots: SLOTS, pace},
  };
}

/** Runs plain calls of 100 ms at targets that take `rateAt` as long; returns the times of the calls. */
function runCalls(
  rateAt: ReadonlyArray<(now: number) => number>,
  {
    entries = 1,
    perSecond,
    seconds,
  }: {entries?: number; perSecond: number; seconds: number},
): Array<{readonly sentAt: number; readonly tookMs: number}> {
  const random = createRandom(3);
  const targets = targetsOf(rateAt.length);
  const selectors = Array.from({length: entries}, () =>
    createSelector(targets, random),
  );
  const outcomes: Array<{sentAt: number; tookMs: number}> = [];
  let running: Running[] = [];
  for (let now = 0; now < seconds * 1_000; now += 1) {
    if (random() < perSecond / 1_000) {
      const selector = selectors[Math.floor(random() * entries)];
      const {target} = selector.choose(NEEDS, now)!;
      const tracker = selector.startCall(target, undefined, now, ROUTE);
      const index = targets.indexOf(target);
      running.push({
        target: index,
        sentAt: now,
        remainingMs: 100,
        end: at => {
          const load = running.filter(({target}) => target === index).length;
          const pace = rateAt[index](at);
          tracker.recordResponse(response(load - 1, pace), false, at);
          tracker.recordEvent(at);
          tracker.recordCompletion(at);
          tracker.end(at);
        },
      });
    }
    const used = rateAt.map(() => 0);
    for (const call of running) {
      used[call.target] += 1;
      if (used[call.target] <= SLOTS) {
        call.remainingMs -= 1 / rateAt[call.target](now);
      }
      if (call.remainingMs <= 0) {
        call.end(now);
        outcomes.push({sentAt: call.sentAt, tookMs: now - call.sentAt});
      }
    }
    running = running.filter(({remainingMs}) => remainingMs > 0);
  }
  return outcomes;
}

it('plain targets: calls go to the faster targets while these have room', () => {
  const rates = [1, 1, 1.6, 1].map(rate => () => rate);
  const outcomes = runCalls(rates, {perSecond: 40, seconds: 60});
  const learned = outcomes.filter(({sentAt}) => sentAt > LEARNED_MS);
  const late = learned.filter(({tookMs}) => tookMs > OBJECTIVE_MS);
  expect(late.length / learned.length).to.be.below(0.05);
});

it('plain targets: 42 entries do not overload the faster targets', () => {
  const rates = [1, 1, 2, 1].map(rate => () => rate);
  const traffic = {entries: 42, perSecond: 110, seconds: 60};
  const late = runCalls(rates, traffic).filter(
    ({sentAt, tookMs}) => sentAt > LEARNED_MS && tookMs > DEADLINE_MS,
  );
  expect(late.length).to.equal(0);
});

it('plain targets: a target that states that it is slow gets fewer calls until its report is old', () => {
  const targets = targetsOf(2);
  const random = createRandom(5);
  const selector = createSelector(targets, random);
  const choices = (now: number) =>
    Array.from({length: 100}, () => selector.choose(NEEDS, now)!.target.id);
  const tracker = selector.startCall(targets[0], undefined, 0, ROUTE);
  tracker.recordResponse(response(0, 2.5), false, 100);
  tracker.end(100);
  expect(choices(101)).to.not.include('t0');
  expect(choices(700)).to.include.members(['t0', 't1']);
});

it('plain targets: a target that responds at once and breaks off does not attract calls', () => {
  const targets = targetsOf(2);
  const selector = createSelector(targets, createRandom(5));
  let now = 0;
  for (let call = 0; call < 20; call += 1) {
    const [broken, sound] = targets.map(target =>
      selector.startCall(target, undefined, now, ROUTE),
    );
    broken.recordResponse(response(0), false, now + 1);
    broken.recordEvent(now + 1);
    broken.recordBreak();
    broken.end(now + 1);
    sound.recordResponse(response(0), false, now + 90);
    sound.recordEvent(now + 100);
    sound.recordCompletion(now + 100);
    sound.end(now + 100);
    now += 1_000;
  }
  const chosen = Array.from(
    {length: 100},
    () => selector.choose(NEEDS, now)!.target.id,
  );
  expect(new Set(chosen)).to.deep.equal(new Set(['t1']));
});

it('plain targets: a full target is used last, however fast the others are', () => {
  const targets = targetsOf(2);
  const selector = createSelector(targets, createRandom(5));
  const tracker = selector.startCall(targets[1], undefined, 0, ROUTE);
  tracker.recordResponse(response(0, 3), false, 100);
  for (let call = 0; call < SLOTS; call += 1) {
    selector.startCall(targets[0], undefined, 100, ROUTE);
  }
  expect(selector.choose(NEEDS, 101)?.target.id).to.equal('t1');
});

it('plain targets: ties are decided at random', () => {
  const targets = targetsOf(4);
  const selector = createSelector(targets, createRandom(5));
  const chosen = new Set(
    Array.from({length: 100}, () => selector.choose(NEEDS, 0)!.target.id),
  );
  expect(chosen.size).to.equal(targets.length);
});
