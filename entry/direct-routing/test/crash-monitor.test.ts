import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {PartRecords} from '@marigoldspur/crash-attribution';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {
  CrashMonitor,
  DirectRoutingMetrics,
  TargetFinder,
  type EngineFate,
} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';

const BAD = 'bad';
const FIRST = 'f';
/** The platform's `contactMs`. */
const CONTACT_MS = 3_000;

let fates: Map<string, EngineFate>;
let callCount: number;
let monitors: CrashMonitor[];
let blockCount: number;

beforeEach(() => {
  fates = new Map();
  callCount = 0;
  monitors = [];
  blockCount = 0;
});

afterEach(() => monitors.forEach(monitor => monitor.stop()));

/** Starts entries whose records reach each other through `relay`. */
function startEntries(
  count: number,
  relay: (from: number, records: PartRecords) => void,
): void {
  for (let index = 0; index < count; index += 1) {
    monitors.push(
      new CrashMonitor({
        entry: `e${index}`,
        fateOf: ({id}) => fates.get(id) ?? 'running',
        causes: () => new Map(),
        onCrashes: () => {},
        broadcast: records => relay(index, records),
        onBlocked: () => (blockCount += 1),
        events: new EventLog({process: 'test'}),
        metrics: new DirectRoutingMetrics(new Registry()),
      }),
    );
  }
}

function startEntry(): CrashMonitor {
  startEntries(1, () => {});
  return monitors[0];
}

function work(parts: string[], model = 'm') {
  callCount += 1;
  const ids = [...parts, `own${callCount}`];
  return {
    model,
    promptTokens: 100,
    maxOutputTokens: 10,
    parts: ids.map(id => ({id, tokens: 10})),
  };
}

function breakCall(
  monitor: CrashMonitor,
  engine: string,
  parts: string[],
  now: number,
  changes: {hasHead?: boolean; isAborted?: boolean} = {},
): void {
  const brokenWork = work(parts);
  const fingerprint = `r${callCount}`;
  monitor.recordBreak(
    {
      id: `c${callCount}`,
      work: brokenWork,
      fingerprint: () => fingerprint,
      target: {id: engine, bornAt: 0} as TargetAnnouncement,
      hasHead: true,
      isAborted: false,
      ...changes,
    },
    now,
  );
}

/** Lets an engine crash on calls with these parts. */
function crash(
  monitor: CrashMonitor,
  engine: string,
  parts: string[],
  now: number,
): void {
  breakCall(monitor, engine, parts, now);
  fates.set(engine, 'crashed');
  monitor.checkEngines(now + 1);
}

function isBlocked(monitor: CrashMonitor, parts: string[]): boolean {
  return monitor.findBlock(work(parts)) !== undefined;
}

it('crash monitor: a part is blocked after three engines crashed on it, and the shared first part is not', () => {
  const monitor = startEntry();
  monitor.recordCompletion(work([FIRST, 'sound']), 0);
  ['i1', 'i2', 'i3'].forEach((engine, index) =>
    crash(monitor, engine, [FIRST, BAD], 100 + index),
  );
  expect(blockCount).to.equal(1);
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(true);
  expect(isBlocked(monitor, [FIRST, 'sound'])).to.equal(false);
});

it('crash monitor: responses that break off at engines that go on or left speak against no part', () => {
  const monitor = startEntry();
  for (let index = 0; index < 20; index += 1) {
    breakCall(monitor, `i${index}`, [FIRST, 'p'], index);
    fates.set(`j${index}`, 'left');
    breakCall(monitor, `j${index}`, [FIRST, 'p'], index);
  }
  monitor.checkEngines(1_000);
  expect(isBlocked(monitor, [FIRST, 'p'])).to.equal(false);
});

it('crash monitor: a call that its caller left counts only if its engine had crashed before', () => {
  const monitor = startEntry();
  const leave = (engine: string) =>
    breakCall(monitor, engine, [FIRST, 'p'], 0, {isAborted: true});
  ['i1', 'i2', 'i3'].forEach(engine => {
    leave(engine);
    fates.set(engine, 'crashed');
  });
  monitor.checkEngines(10);
  expect(isBlocked(monitor, [FIRST, 'p'])).to.equal(false);
  ['i1', 'i2', 'i3'].forEach(leave);
  expect(isBlocked(monitor, [FIRST, 'p'])).to.equal(true);
});

it('crash monitor: a crash that becomes known late still counts', () => {
  const monitor = startEntry();
  ['i1', 'i2', 'i3'].forEach(engine =>
    breakCall(monitor, engine, [FIRST, BAD], 0),
  );
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(false);
  ['i1', 'i2', 'i3'].forEach(engine => fates.set(engine, 'crashed'));
  monitor.checkEngines(4_000);
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(true);
});

it('crash monitor: calls that no head had arrived for count if no entry saw one', () => {
  const monitor = startEntry();
  ['i1', 'i2', 'i3'].forEach(engine => {
    breakCall(monitor, engine, [FIRST, BAD], 0, {hasHead: false});
    fates.set(engine, 'crashed');
  });
  monitor.checkEngines(10);
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(false);
  monitor.checkEngines(500);
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(true);
});

it('crash monitor: an entry that no other reaches blocks what it saw itself, and others learn it later', () => {
  startEntries(2, () => {});
  const [cutOff, other] = monitors;
  ['i1', 'i2', 'i3'].forEach(engine =>
    crash(cutOff, engine, [FIRST, BAD], 100),
  );
  expect(isBlocked(cutOff, [FIRST, BAD])).to.equal(true);
  expect(isBlocked(other, [FIRST, BAD])).to.equal(false);
  const empty = {reports: [], sightings: []};
  other.addRecords(cutOff.recordsMissingIn(empty, 5_000), 5_000);
  expect(isBlocked(other, [FIRST, BAD])).to.equal(true);
});

it('crash monitor: an answer that another entry saw lifts a blame', () => {
  const pending: Array<() => void> = [];
  startEntries(2, (from, records) =>
    pending.push(() => monitors[1 - from].addRecords(records, 200)),
  );
  monitors[1].recordCompletion(work([FIRST, 'p']), 150);
  ['i1', 'i2', 'i3'].forEach(engine =>
    crash(monitors[0], engine, [FIRST, 'p'], 100),
  );
  expect(isBlocked(monitors[0], [FIRST, 'p'])).to.equal(true);
  for (let send = pending.shift(); send; send = pending.shift()) {
    send();
  }
  monitors.forEach(monitor =>
    expect(isBlocked(monitor, [FIRST, 'p'])).to.equal(false),
  );
});

it('crash monitor: 28 entries send at most eight calls with a crashing part, and no sound call is refused', () => {
  const relayDelayMs = 20;
  const messages: Array<{at: number; deliver: (now: number) => void}> = [];
  let now = 0;
  startEntries(28, (from, records) =>
    monitors.forEach(
      (monitor, to) =>
        to !== from &&
        messages.push({
          at: now + relayDelayMs,
          deliver: at => monitor.addRecords(records, at),
        }),
    ),
  );
  let sentBad = 0;
  let refusedSound = 0;
  for (; now < 20_000; now += 10) {
    while (messages.length > 0 && messages[0].at <= now) {
      messages.shift()!.deliver(now);
    }
    const step = now / 10;
    const monitor = monitors[(step * 11) % monitors.length];
    const sound = work([FIRST, `s${(step * 7) % 30}`]);
    if (monitor.findBlock(sound) === undefined) {
      monitor.recordCompletion(sound, now);
    } else {
      refusedSound += 1;
    }
    const other = monitors[(step * 5) % monitors.length];
    if (now % 100 === 0 && !isBlocked(other, [FIRST, BAD])) {
      sentBad += 1;
      crash(other, `i${sentBad}`, [FIRST, BAD], now);
    }
  }
  expect(refusedSound).to.equal(0);
  expect(sentBad).to.be.at.most(8);
});

it('crash monitor: a blocked part stays blocked while such calls come', () => {
  const monitor = startEntry();
  ['i1', 'i2', 'i3'].forEach(engine =>
    crash(monitor, engine, [FIRST, BAD], 100),
  );
  const minute = 60_000;
  for (let now = 0; now < 240 * minute; now += minute) {
    const call = work([FIRST, BAD]);
    const blame = monitor.findBlock(call);
    expect(blame, `after ${now} ms`).to.not.equal(undefined);
    monitor.recordRefusal(call, blame!, now);
  }
});

it('crash monitor: a call that comes half an hour after the last refusal lifts the block', () => {
  const monitor = startEntry();
  ['i1', 'i2', 'i3'].forEach(engine =>
    crash(monitor, engine, [FIRST, BAD], 100),
  );
  const call = work([FIRST, BAD]);
  monitor.recordRefusal(call, monitor.findBlock(call)!, 1_000);
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(true);
  monitor.recordRefusal(call, monitor.findBlock(call)!, 1_802_000);
  expect(isBlocked(monitor, [FIRST, BAD])).to.equal(false);
});

it('target finder: a call that waited for its adapter is refused if a part of its prompt was blocked meanwhile', async () => {
  const monitor = startEntry();
  const call = work([FIRST, BAD]);
  const target = {id: 't', address: '10.0.0.1:80'};
  const finder = new TargetFinder({
    fleetView: {versionOf: () => undefined},
    selector: {
      choose: () => ({target, needsAdapter: true, waitMs: 0, processingMs: 0}),
      isAvailable: () => true,
    },
    adapterPreparer: {
      prepare: async () => {
        ['i1', 'i2', 'i3'].forEach(engine =>
          crash(monitor, engine, [FIRST, BAD], 100),
        );
        return true;
      },
    },
    crashMonitor: monitor,
    requestCrashes: {findBlock: () => undefined, refuse: () => undefined},
    targetLimits: {isLimited: () => false, busyTargets: () => []},
    random: () => 0.5,
  } as never);
  const found = await finder.find(
    {
      metadata: {id: 'c', work: call},
      route: {timeoutMs: CONTACT_MS},
      service: {},
      startedAt: performance.now(),
      signal: new AbortController().signal,
    } as never,
    new Set(),
    performance.now(),
  );
  expect(found.isErr && found.error).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'prompt_part_blocked',
  });
});
