import {expect} from 'chai';
import type {EngineView, TargetAnnouncement} from '@marigoldspur/deployment';
import {TargetSelector} from '@marigoldspur/direct-routing';

const SLOTS = 8;
const SERVICE = {
  name: 's',
  healthPath: '/',
  maxConnections: 100,
  engine: {
    batchLimit: 64,
    tokenMemory: 200_000,
    adapterSlots: SLOTS,
    models: [{name: 'm', adapters: 100}],
  },
};

function engine(index: number): TargetAnnouncement {
  return {
    id: `e${index}`,
    bornAt: 1,
    sequence: 1,
    service: 's',
    address: `10.0.0.${index}:80`,
    zone: 'z1',
    slots: 64,
    leaving: false,
    models: ['m'],
  };
}

function view(changes: Partial<EngineView> = {}): EngineView {
  return {
    bornAt: 1,
    answers: true,
    models: ['m'],
    adapters: [],
    loading: [],
    awaited: [],
    takenSlots: 0,
    waiting: 0,
    running: 0,
    memoryUsed: 0,
    ...changes,
  };
}

function requirements(adapter: string) {
  const parts = [{id: `${adapter}-p`, tokens: 1_000}];
  const work = {
    model: 'm',
    adapter,
    promptTokens: 1_000,
    maxOutputTokens: 100,
    parts,
  };
  return {service: SERVICE, work, excluded: new Set<string>()};
}

function createSelector(views: readonly EngineView[]): TargetSelector {
  const targets = views.map((_, index) => engine(index));
  const byAddress = new Map(
    targets.map(({address}, index) => [address, views[index]]),
  );
  return new TargetSelector({
    zone: 'z1',
    targets: () => targets,
    engineView: address => byAddress.get(address),
    random: () => 0.5,
  });
}

it('target selector: the first adapters are spread over all engines', () => {
  const selector = createSelector(Array.from({length: 12}, () => view()));
  const counts = new Map<string, number>();
  for (let index = 0; index < 48; index += 1) {
    const required = requirements(`a${index}`);
    const {target} = selector.choose(required, 0)!;
    selector.startAdapterWait(target, required.work, 0);
    counts.set(target.id, (counts.get(target.id) ?? 0) + 1);
  }
  expect([...counts.values()].every(count => count <= SLOTS)).to.equal(true);
  expect(counts.size).to.equal(12);
});

it('target selector: an adapter that waits for a slot is not requested at another engine', () => {
  const selector = createSelector([view(), view(), view()]);
  const required = requirements('a');
  const first = selector.choose(required, 0)!;
  selector.startAdapterWait(first.target, required.work, 0);
  expect(selector.choose(required, 0)?.target).to.equal(first.target);
});

it('target selector: if calls use all slots, the expected wait grows with the queue', () => {
  const awaited = ['m/x', 'm/y', 'm/z'];
  const expected = (queue: string[]) =>
    createSelector([view({takenSlots: SLOTS, awaited: queue})]).choose(
      requirements('a'),
      0,
    )!.waitMs;
  expect(expected(awaited)).to.be.above(expected(['m/x']));
  expect(expected(['m/x'])).to.be.above(expected([]));
});

it('target selector: an engine that does not respond to its agent is not chosen', () => {
  const selector = createSelector([
    view({answers: false}),
    view({takenSlots: SLOTS}),
  ]);
  expect(selector.choose(requirements('a'), 0)?.target.id).to.equal('e1');
});

it('target selector: a call does not wait at an idle engine, however large it is', () => {
  const selector = createSelector([view()]);
  const large = requirements('a');
  const work = {...large.work, promptTokens: 500_000};
  expect(selector.choose({...large, work}, 0)?.waitMs).to.equal(0);
});

it('target selector: a target that asked for a pause is not used until the pause ends, and a new start of it is', () => {
  const targets = [engine(0)];
  const selector = new TargetSelector({
    zone: 'z1',
    targets: () => targets,
    engineView: () => undefined,
    random: () => 0.5,
  });
  const needs = requirements('a');
  selector.recordPause(targets[0], 3_000);
  selector.recordPause(targets[0], 1_000);
  expect(selector.choose(needs, 2_999)).to.equal(undefined);
  expect(selector.isAvailable(targets[0], needs, 2_999)).to.equal(false);
  expect(selector.pauseRemainingMs(needs, 2_000)).to.equal(1_000);
  expect(selector.choose(needs, 3_000)?.target.id).to.equal('e0');
  expect(selector.pauseRemainingMs(needs, 3_000)).to.equal(undefined);
  targets[0] = {...engine(0), bornAt: 2};
  expect(selector.choose(needs, 0)?.target.id).to.equal('e0');
});

it('target selector: the soonest end of a pause counts, also of a target that was tried', () => {
  const targets = [engine(0), engine(1)];
  const selector = new TargetSelector({
    zone: 'z1',
    targets: () => targets,
    engineView: () => undefined,
    random: () => 0.5,
  });
  selector.recordPause(targets[0], 1_000);
  selector.recordPause(targets[1], 5_000);
  const needs = {...requirements('a'), excluded: new Set(['e0'])};
  expect(selector.choose(needs, 0)).to.equal(undefined);
  expect(selector.pauseRemainingMs(needs, 0)).to.equal(1_000);
});

it('target selector: a stream goes on only at its software version, and not where the engine may have started anew', () => {
  const targets = ['v1', 'v2', 'v1'].map((softwareVersion, index) => ({
    ...engine(index),
    softwareVersion,
  }));
  const views = [view(), view(), view({bornAt: 9})];
  const selector = new TargetSelector({
    zone: 'z1',
    targets: () => targets,
    engineView: address => views[Number(address.split('.')[3].split(':')[0])],
    random: () => 0.5,
  });
  const origin = {
    call: 'c',
    request: 'r',
    id: 'gone',
    bornAt: 1,
    service: 's',
    softwareVersion: 'v1',
    ageMs: 0,
  };
  const needs = {...requirements('a'), origin};
  expect(selector.choose(needs, 0)?.target.id).to.equal('e0');
  expect(selector.isAvailable(targets[1], needs, 0)).to.equal(false);
  expect(selector.isAvailable(targets[2], needs, 0)).to.equal(false);
  expect(selector.softwareVersionOf(targets[2])).to.equal(undefined);
  const other = {...needs, origin: {...origin, softwareVersion: 'v3'}};
  expect(selector.choose(other, 0)).to.equal(undefined);
  expect(selector.mayServeLater(other)).to.equal(false);
});

it('target selector: a new start of an engine that stated a slow pace counts as usual', () => {
  const targets = [engine(0), engine(1)];
  const selector = new TargetSelector({
    zone: 'z1',
    targets: () => targets,
    engineView: () => view(),
    random: () => 0.5,
  });
  const {work, ...needs} = requirements('a');
  const base = {...needs, work: {...work, adapter: undefined}};
  const usual = selector.choose(base, 0)!.target;
  const tracker = selector.startCall(usual, base.work, 0);
  const load = {running: 0, waiting: 0, slots: 64, pace: 2.5};
  tracker.recordResponse(
    {
      matchesCallId: true,
      isAttested: true,
      hasNotRun: false,
      isMisdirected: false,
      isLeaving: false,
      load,
    },
    false,
    10,
  );
  tracker.end(10);
  const long = {...base, work: {...base.work, promptTokens: 9_000, parts: []}};
  expect(selector.choose(long, 20)?.target.id).to.not.equal(usual.id);
  targets[targets.indexOf(usual)] = {...usual, bornAt: 2};
  selector.removeUnknownTargets();
  expect(selector.choose(long, 20)?.target.id).to.equal(usual.id);
});

it('target selector: a target far slower than its peers is reported once a minute', () => {
  const targets = [0, 1, 2].map(engine);
  const slow: string[] = [];
  const selector = new TargetSelector({
    zone: 'z1',
    targets: () => targets,
    engineView: () => undefined,
    random: () => 0.5,
    onSlowTarget: ({id}) => slow.push(id),
  });
  const {work} = requirements('a');
  const response = {
    matchesCallId: true,
    isAttested: true,
    hasNotRun: false,
    isMisdirected: false,
    isLeaving: false,
  };
  for (let now = 0; now < 40_000; now += 1_000) {
    for (const target of targets) {
      const call = {
        ...work,
        parts: [{id: `${target.id}-${now}`, tokens: 1_000}],
      };
      const route = {name: 'r', streaming: true};
      const tracker = selector.startCall(target, call, now, route);
      const tookMs = target.id === 'e1' ? 90 : 30;
      tracker.recordResponse(response, false, now + tookMs);
      tracker.recordEvent(now + tookMs);
      tracker.recordCompletion(now + tookMs);
      tracker.end(now + tookMs);
    }
    selector.choose(requirements('a'), now + 500);
  }
  expect(slow).to.deep.equal(['e1']);
});

it('target selector: the load and the pace that another process at the address states are not taken for the target', () => {
  const needs = {...requirements('a'), work: undefined};
  const plain = {...needs, service: {...SERVICE, engine: undefined}};
  const targets = [engine(0), engine(1)];
  const choicesAfter = (responder?: string) => {
    const selector = new TargetSelector({
      zone: 'z1',
      targets: () => targets,
      engineView: () => undefined,
      random: () => 0.5,
    });
    const tracker = selector.startCall(targets[0], undefined, 0);
    tracker.recordResponse(
      {
        matchesCallId: true,
        isAttested: false,
        hasNotRun: true,
        isMisdirected: responder !== undefined,
        isLeaving: false,
        target: responder,
        load: {running: 64, waiting: 10, slots: 64, pace: 3},
      },
      false,
      10,
    );
    tracker.end(10);
    return selector.choose(plain, 20)?.target.id;
  };
  expect(choicesAfter('other')).to.equal('e0');
  expect(choicesAfter('e0')).to.equal('e1');
  expect(choicesAfter(undefined)).to.equal('e1');
});

it('target selector: absurd counts in the report of one engine do not make it unusable for good, or others without room usable', () => {
  const absurd = view({running: 1e12, waiting: 1e12});
  const needs = requirements('a');
  const alone = createSelector([absurd]).choose(needs, 0)!;
  expect(alone.waitMs).to.be.below(60_000);
  const selector = createSelector([absurd, view(), view({memoryUsed: 1})]);
  const tracker = selector.startCall(engine(1), needs.work, 0);
  tracker.recordCompletion(5_000);
  tracker.end(5_000);
  for (let call = 0; call < 10; call += 1) {
    const {lacksMemory, target} = selector.choose(needs, 5_000 + call)!;
    expect([target.id, lacksMemory]).to.deep.equal(['e1', false]);
  }
});

it('target selector: only the load of an adapter into an idle slot is learned as the load time of the store', () => {
  const TOOK_MS = 2_000;
  const learnedFrom = (state: Partial<EngineView>, adapter?: string) => {
    const selector = createSelector([view(state), view()]);
    const {work} = requirements('a');
    const awaited = {...work, adapter};
    selector.choose(requirements('b'), 0);
    for (let load = 0; load < 8; load += 1) {
      selector.startAdapterWait(engine(0), awaited, 0)(TOOK_MS);
    }
    const {target, processingMs} = selector.choose(
      {...requirements('b'), excluded: new Set(['e0'])},
      TOOK_MS,
    )!;
    expect(target.id).to.equal('e1');
    return processingMs;
  };
  const usualMs = createSelector([view()]).choose(
    requirements('b'),
    0,
  )!.processingMs;
  expect(learnedFrom({}, 'a')).to.be.above(usualMs);
  expect(learnedFrom({}, undefined)).to.equal(usualMs);
  expect(learnedFrom({models: []}, 'a')).to.equal(usualMs);
  expect(learnedFrom({takenSlots: SLOTS}, 'a')).to.equal(usualMs);
});
