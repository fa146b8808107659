import {expect} from 'chai';
import type {PermitAnswer, TargetAnnouncement} from '@marigoldspur/deployment';
import {TargetFinder, TargetSelector} from '@marigoldspur/direct-routing';

const LIMITED = 'limited';
const FREE = 'free';
const DENIED: PermitAnswer = {isGranted: false, waitMs: 700};
const GRANTED: PermitAnswer = {isGranted: true, waitMs: 0};

interface Situation {
  /** IDs of the targets, the preferred one first. */
  readonly targets: string[];
  readonly answer?: PermitAnswer;
  readonly needsAdapter?: boolean;
  /** Called while a call waits for its permit. */
  readonly duringWait?: (targets: TargetAnnouncement[]) => void;
}

let asked: Array<{target: string; maxWaitMs: number; priority: number}>;
let prepared: string[];

beforeEach(() => {
  asked = [];
  prepared = [];
});

/** Finds a target for a call; targets whose name begins with "limited" have a limit. */
async function find(situation: Situation) {
  const {duringWait, needsAdapter = false, targets: ids} = situation;
  const targets = ids.map(id => ({
    id,
    bornAt: 0,
    sequence: 1,
    service: 's',
    address: `10.0.0.1:${ids.indexOf(id) + 1}`,
    zone: 'z',
    slots: 8,
    leaving: false,
    models: [],
  }));
  const selector = new TargetSelector({
    zone: 'z',
    targets: () => targets,
    engineView: () => undefined,
    random: () => 0,
  });
  const finder = new TargetFinder({
    fleetView: {versionOf: () => undefined},
    selector: {
      choose: (requirements, now) => {
        const chosen = selector.choose(requirements, now);
        return chosen && {...chosen, needsAdapter};
      },
      mayServeLater: () => true,
      pauseRemainingMs: () => undefined,
      isAvailable: (target, requirements, now) =>
        selector.isAvailable(target, requirements, now),
    },
    adapterPreparer: {
      prepare: async (_call, {target}) => prepared.push(target.id) > 0,
    },
    crashMonitor: {findBlock: () => undefined, recordRefusal: () => {}},

    requestCrashes: {findBlock: () => undefined, refuse: () => undefined},
    targetLimits: {
      isLimited: ({id}) => id.startsWith(LIMITED),
      busyTargets: () => [],
      acquire: async (target, {maxWaitMs, priority}) => {
        asked.push({target: target.id, maxWaitMs, priority});
        duringWait?.(targets);
        return situation.answer ?? DENIED;
      },
    },
    random: () => 0,
  });
  const work = {model: 'm', promptTokens: 1, maxOutputTokens: 1, parts: []};
  return finder.find(
    {
      metadata: {id: 'c', work: needsAdapter ? work : undefined},
      route: {timeoutMs: 60_000, patienceMs: 2_000, priority: 3},
      service: {name: 's'},
      startedAt: performance.now(),
      signal: new AbortController().signal,
    } as never,
    new Set(),
    performance.now(),
  );
}

it('limited targets: a call with a permit is sent there', async () => {
  const found = await find({targets: [LIMITED, FREE], answer: GRANTED});
  expect(found.isOk && found.value.id).to.equal(LIMITED);
  expect(asked).to.deep.equal([{target: LIMITED, maxWaitMs: 0, priority: 3}]);
});

it('limited targets: a call without a permit goes to another target without a wait', async () => {
  const found = await find({targets: [LIMITED, FREE]});
  expect(found.isOk && found.value.id).to.equal(FREE);
  expect(asked).to.have.length(1);
});

it('limited targets: no adapter is loaded there while another target is left', async () => {
  const found = await find({targets: [LIMITED, FREE], needsAdapter: true});
  expect(found.isOk && found.value.id).to.equal(FREE);
  expect(prepared).to.deep.equal([FREE]);
  expect(asked).to.have.length(0);
});

it('limited targets: a call waits for a permit only if no other target is left', async () => {
  const found = await find({targets: [LIMITED, `${LIMITED}2`]});
  expect(asked.map(({maxWaitMs}) => maxWaitMs)).to.deep.equal([0, 0, 500]);
  expect(found.isErr && found.error).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'request_limit',
    retryAfterSeconds: 0.7,
  });
});

it('limited targets: the permit is asked for after the wait for an adapter', async () => {
  const found = await find({
    targets: [LIMITED],
    needsAdapter: true,
    answer: GRANTED,
  });
  expect(found.isOk && found.value.id).to.equal(LIMITED);
  expect(prepared).to.deep.equal([LIMITED]);
});

it('limited targets: a target that starts to leave during the wait for a permit is not used', async () => {
  const found = await find({
    targets: [LIMITED, FREE],
    answer: GRANTED,
    duringWait: targets => (targets[0] = {...targets[0], leaving: true}),
  });
  expect(found.isOk && found.value.id).to.equal(FREE);
});

it('limited targets: a passed-over target with room for a call is used before the call is refused for lack of memory', async () => {
  const target = (id: string) => ({id, address: '10.0.0.1:80'});
  const findWith = (hasPassedOverRoom: boolean) =>
    new TargetFinder({
      fleetView: {versionOf: () => undefined},
      selector: {
        choose: ({excluded}: {excluded: ReadonlySet<string>}) => ({
          target: target(excluded.has(LIMITED) ? FREE : LIMITED),
          needsAdapter: false,
          waitMs: 0,
          processingMs: 0,
          lacksMemory: excluded.has(LIMITED) || !hasPassedOverRoom,
        }),
        isAvailable: () => true,
      },
      crashMonitor: {findBlock: () => undefined},
      requestCrashes: {findBlock: () => undefined, refuse: () => undefined},
      targetLimits: {
        isLimited: ({id}: {id: string}) => id === LIMITED,
        busyTargets: () => [LIMITED],
        acquire: async () => GRANTED,
      },
      random: () => 0,
    } as never).find(
      {
        metadata: {id: 'c'},
        route: {timeoutMs: 60_000, patienceMs: 2_000, priority: 3},
        service: {name: 's'},
        startedAt: performance.now(),
        signal: new AbortController().signal,
      } as never,
      new Set(),
      performance.now(),
    );
  const found = await findWith(true);
  expect(found.isOk && found.value.id).to.equal(LIMITED);
  const refused = await findWith(false);
  expect(refused.isErr && refused.error.reason).to.equal('memory_full');
});
