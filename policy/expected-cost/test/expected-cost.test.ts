import {expect} from 'chai';
import {
  CallProgress,
  HiddenRequests,
  PRIOR_COSTS,
  ReportedLoad,
  ServiceModel,
  StatedPace,
  statedLoadCosts,
  stretchByPace,
  TargetModel,
} from '@marigoldspur/expected-cost';

const PROMPT_TOKENS = 9_190;
const USUAL_MS = PROMPT_TOKENS / PRIOR_COSTS.prefillTokensPerMs;

/** A service whose targets take these times, after `calls` first events at each. */
function learn(speeds: readonly number[], calls: number) {
  const service = new ServiceModel();
  const targets = speeds.map(() => new TargetModel());
  targets.forEach(target => service.addTarget(target));
  let now = 0;
  for (let call = 0; call < calls; call += 1) {
    speeds.forEach((speed, index) => {
      now += 20;
      const event = {promptTokens: PROMPT_TOKENS, tookMs: USUAL_MS * speed};
      service.recordFirstEvent(targets[index], event, now);
    });
  }
  service.costs(now + 1_000);
  return {service, targets, now: now + 1_000};
}

it('expected cost: targets that are alike count as alike', () => {
  const {targets} = learn([1, 1.04, 0.97, 1], 30);
  expect(targets.map(({prefill}) => prefill.factor)).to.deep.equal([
    1, 1, 1, 1,
  ]);
});

it('expected cost: the speed of a target is learned relative to the median', () => {
  const {targets} = learn([1, 1, 1.3, 1, 1, 1.3], 30);
  expect(targets[0].prefill.factor).to.equal(1);
  expect(targets[2].prefill.factor).to.be.within(1.15, 1.35);
});

it('expected cost: with few observations a target counts as the median', () => {
  const {targets} = learn([1, 1, 3], 2);
  expect(targets[2].prefill.factor).to.equal(1);
});

it('expected cost: without calls a target approaches the median again', () => {
  const {service, targets, now} = learn([1, 1, 1.6], 30);
  service.costs(now + 3_600_000);
  expect(targets[2].prefill.factor).to.equal(1);
});

it('expected cost: one wrong observation changes little', () => {
  const {service, targets, now} = learn([1, 1, 1], 30);
  for (const tookMs of [USUAL_MS * 10, 0, -5, NaN, Infinity]) {
    const event = {promptTokens: PROMPT_TOKENS, tookMs};
    service.recordFirstEvent(targets[0], event, now);
  }
  const {prefillTokensPerMs} = service.costs(now + 1_000);
  expect(targets[0].prefill.factor).to.equal(1);
  expect(prefillTokensPerMs).to.be.within(33, 37);
});

it('expected cost: the prefill speed of a service is learned, within bounds', () => {
  const twice = learn([2, 2, 2], 60);
  expect(twice.service.costs(twice.now).prefillTokensPerMs).to.be.within(
    16,
    25,
  );
  const absurd = learn([1_000, 1_000], 500);
  expect(absurd.service.costs(absurd.now).prefillTokensPerMs).to.be.at.least(
    PRIOR_COSTS.prefillTokensPerMs / 4,
  );
});

it('expected cost: a target that is more than twice as slow as its peers is found', () => {
  const {service, targets, now} = learn([1, 1, 1, 2.5], 30);
  const slow = targets.map(target => service.isSlow(target, now));
  expect(slow).to.deep.equal([false, false, false, true]);
});

it('expected cost: a target that always states a wrong pace is taken at its observed speed', () => {
  const service = new ServiceModel();
  const targets = [new TargetModel(), new TargetModel(), new TargetModel()];
  targets.forEach(target => service.addTarget(target));
  for (let now = 0; now < 60_000; now += 100) {
    targets[0].pace.record(0.4, now);
    for (const target of targets) {
      const event = {promptTokens: PROMPT_TOKENS, tookMs: USUAL_MS};
      service.recordFirstEvent(target, event, now);
    }
  }
  service.costs(60_000);
  const [liar] = targets;
  expect(liar.prefill.factor * liar.pace.at(59_900)).to.be.within(0.8, 1.2);
});

it('stated pace: wrong reports are ignored, and others are limited', () => {
  for (const wrong of [0, -1, NaN, 10, 25, 0.1]) {
    const pace = new StatedPace();
    pace.record(wrong, 0);
    expect(pace.at(0)).to.equal(1);
  }
  const pace = new StatedPace();
  for (let now = 0; now < 100; now += 10) {
    pace.record(5.9, now);
  }
  expect(pace.at(100)).to.be.at.most(3);
});

it('stated pace: a report counts at once and ages out within 500 ms', () => {
  const pace = new StatedPace();
  pace.record(2.5, 0);
  expect(pace.at(0)).to.be.within(1.5, 2.5);
  expect(pace.at(400)).to.be.within(1, 1.3);
  expect(pace.at(500)).to.equal(1);
});

it('stated pace: a slow pace is not expected to last as long as a long queue', () => {
  expect(stretchByPace(100, 2.5)).to.equal(250);
  expect(stretchByPace(10_000, 2.5)).to.equal(10_750);
});

it('expected cost: load times are those of the deployment where it states them', () => {
  const engine = {
    batchLimit: 64,
    tokenMemory: 1,
    adapterSlots: 1,
    models: [{name: 'm', adapters: 1, loadMs: 8_000, diskLoadMs: 900}],
    loadsPerSecond: 4,
  };
  expect(statedLoadCosts(engine, 'm')).to.deep.equal({
    modelLoadMs: 8_000,
    storeContentionMs: 250,
  });
  const {modelLoadMs, storeContentionMs} = PRIOR_COSTS;
  expect(statedLoadCosts(undefined, 'm')).to.deep.equal({
    modelLoadMs,
    storeContentionMs,
  });
});

it('expected cost: an adapter load is expected to take what loads took lately', () => {
  const service = new ServiceModel();
  for (let load = 0; load < 10; load += 1) {
    service.recordStoreLoad(800, load * 100);
  }
  expect(service.costs(1_000).storeLoadMs).to.be.above(500);
  expect(service.costs(120_000).storeLoadMs).to.be.within(249, 251);
});

it('expected cost: output and work are learned by route', () => {
  const service = new ServiceModel();
  const target = new TargetModel();
  service.addTarget(target);
  for (let call = 0; call < 20; call += 1) {
    const now = call * 100;
    service.route('stream').recordEvents(call % 2 === 0 ? 30 : 42, now);
    const response = {workInFront: 0, tookMs: 50};
    service.recordPlainResponse(target, {route: 'a', ...response}, now);
    const long = {route: 'b', workInFront: 0, tookMs: 400};
    service.recordPlainResponse(target, long, now);
  }
  const output = service.route('stream').expectedOutput(2_000)!;
  expect(output.events).to.be.within(30, 42);
  expect(output.spread).to.be.within(1, 1.5);
  expect(service.route('other').expectedOutput(2_000)).to.equal(undefined);
  const ratio =
    service.relativeWork('b', 2_000) / service.relativeWork('a', 2_000);
  expect(ratio).to.be.within(2, 8);
  expect(service.relativeWork('other', 2_000)).to.equal(1);
});

it('hidden requests: a process that is alone expects none', () => {
  const hidden = new HiddenRequests();
  for (let choice = 0; choice < 100; choice += 1) {
    hidden.recordRequests(12 + (choice % 3), 13);
  }
  expect(hidden.count(1_000)).to.be.below(0.5);
});

it('hidden requests: those of others are replaced within the duration of a request', () => {
  const hidden = new HiddenRequests();
  hidden.recordRequests(42, 2);
  expect(hidden.count(1_000)).to.equal(10);
  expect(hidden.count(100)).to.equal(40);
  for (let choice = 0; choice < 50; choice += 1) {
    hidden.recordChoice('m/a', 0);
    hidden.recordChoice('m/b', 0);
  }
  expect(hidden.shareOf('m/a', 0)).to.be.within(0.4, 0.5);
  expect(hidden.shareOf('m/c', 0)).to.equal(0);
});

it('call progress: a response teaches its speed only once it is complete', () => {
  for (const isPlain of [true, false]) {
    const service = new ServiceModel();
    const target = new TargetModel();
    service.addTarget(target);
    const progress = new CallProgress({
      service,
      target,
      route: 'r',
      sentAt: 0,
      isStream: !isPlain,
      isPlain,
      promptTokens: PROMPT_TOKENS,
      isFirstInQueue: true,
      running: 1,
      workInFront: 0,
    });
    const learned = (now: number) =>
      isPlain ? service.meanWorkMs(now) : service.costs(now).prefillTokensPerMs;
    const before = learned(0);
    progress.recordPart(USUAL_MS / 2);
    expect(learned(20_000)).to.equal(before);
    progress.recordCompletion(30_000);
    expect(learned(60_000)).to.be.above(before);
  }
});

it('reported load: an absurd report counts as a few times the slots and is soon forgotten', () => {
  const load = new ReportedLoad();
  load.record(999_999_999_999, {own: 0, slots: 4}, 0);
  expect(load.loadAt(0, 1)).to.equal(16);
  for (let now = 100; now <= 3_000; now += 100) {
    load.record(0, {own: 0, slots: 4}, now);
  }
  expect(load.loadAt(0, 4_000)).to.be.below(1);
});
