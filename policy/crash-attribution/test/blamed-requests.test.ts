import {expect} from 'chai';
import {
  CrashLedger,
  findBlamedParts,
  findBlamedRequests,
  RequestCrashLedger,
} from '@marigoldspur/crash-attribution';
import {MAX_RECORDS} from '@marigoldspur/deployment';

const MINUTE_MS = 60_000;

let ledger: RequestCrashLedger;

beforeEach(() => {
  ledger = new RequestCrashLedger();
});

function crashRecord(engine: string, request: string, hasHead: boolean) {
  return {entry: 'e', target: engine, bornAt: 0, request, hasHead, ageMs: 0};
}

/** Lets an engine crash beside requests. */
function crash(
  engine: string,
  requests: string[],
  now: number,
  hasHead = false,
): void {
  const requestCrashes = requests.map(request =>
    crashRecord(engine, request, hasHead),
  );
  ledger.add({requestCrashes, requestSightings: []}, now);
}

function sight(
  kind: 'completed' | 'refused',
  request: string,
  now: number,
): void {
  const requestSightings = [{kind, request, ageMs: 0}];
  ledger.add({requestCrashes: [], requestSightings}, now);
}

function blamed(): string[] {
  return [...findBlamedRequests(ledger).byRequest.keys()].sort();
}

it('blamed requests: one that three engines had begun to respond to is blamed', () => {
  crash('i1', ['bad'], 0, true);
  crash('i2', ['bad'], 1, true);
  expect(blamed()).to.deep.equal([]);
  crash('i3', ['bad'], 2, true);
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed requests: without a head, three crashes may be chance and four are not', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['bad'], 0));
  expect(blamed()).to.deep.equal([]);
  crash('i4', ['bad'], 0);
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed requests: several arrivals at one engine count as one crash', () => {
  for (let count = 0; count < 9; count += 1) {
    crash('i1', ['bad'], count, true);
  }
  expect(blamed()).to.deep.equal([]);
});

it('blamed requests: those beside a blamed one are not blamed for its crashes', () => {
  for (let engine = 0; engine < 5; engine += 1) {
    const others = engine === 0 ? [] : ['s0', 's1', `o${engine}`];
    crash(`i${engine}`, ['bad', ...others], engine);
  }
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed requests: of two that were always together neither is blamed until one is seen alone', () => {
  for (let engine = 0; engine < 5; engine += 1) {
    crash(`i${engine}`, ['bad', 'sound'], engine);
  }
  expect(blamed()).to.deep.equal([]);
  crash('i5', ['bad'], 5);
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed requests: of two that were always together one is blamed after six crashes, and released once the other is alone', () => {
  for (let engine = 0; engine < 6; engine += 1) {
    crash(`i${engine}`, ['sound', 'worse'], engine);
  }
  expect(blamed()).to.have.length(1);
  crash('i6', ['worse'], 6);
  expect(blamed()).to.deep.equal(['worse']);
});

it('blamed requests: the one that engines had begun to respond to is blamed before one that waited', () => {
  for (let engine = 0; engine < 3; engine += 1) {
    crash(`i${engine}`, ['sound'], engine);
    crash(`i${engine}`, ['bad'], engine, true);
  }
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed requests: a complete answer clears a request of the crashes before it', () => {
  ['i1', 'i2', 'i3', 'i4'].forEach(engine => crash(engine, ['r'], 0, true));
  expect(blamed()).to.deep.equal(['r']);
  sight('completed', 'r', 100);
  expect(blamed()).to.deep.equal([]);
  ['i5', 'i6'].forEach(engine => crash(engine, ['r'], 200, true));
  expect(blamed()).to.deep.equal([]);
});

it('blamed requests: a part is not blamed for one request that comes with other last parts', () => {
  const parts = new CrashLedger();
  for (let engine = 0; engine < 8; engine += 1) {
    const report = {
      ...crashRecord(`i${engine}`, 'bad', true),
      model: 'm',
      parts: ['f', 'p'],
      prompt: `own${engine}`,
    };
    parts.add({reports: [report], sightings: []}, engine);
  }
  expect([...findBlamedParts(parts).keys()]).to.deep.equal([]);
});

it('blamed requests: calls beside a blamed request speak against no part', () => {
  const parts = new CrashLedger();
  for (let engine = 0; engine < 4; engine += 1) {
    crash(`i${engine}`, ['bad', `s${engine}`], engine, true);
    const reports = ['bad', `s${engine}`].map(request => ({
      ...crashRecord(`i${engine}`, request, true),
      model: 'm',
      parts: ['f', 'p'],
      prompt: `own-${request}`,
    }));
    parts.add({reports, sightings: []}, engine);
  }
  const {causes} = findBlamedRequests(ledger);
  expect([...findBlamedParts(parts, causes).keys()]).to.deep.equal([]);
});

it('blamed requests: a part that several blamed requests share is blamed', () => {
  const parts = new CrashLedger();
  for (let engine = 0; engine < 9; engine += 1) {
    const request = `r${engine % 3}`;
    crash(`i${engine}`, [request], engine, true);
    const report = {
      ...crashRecord(`i${engine}`, request, true),
      model: 'm',
      parts: ['f', 'p'],
      prompt: `own-${request}`,
    };
    parts.add({reports: [report], sightings: []}, engine);
  }
  const {byRequest, causes} = findBlamedRequests(ledger);
  expect(byRequest.size).to.equal(3);
  expect([...findBlamedParts(parts, causes).keys()]).to.include('p');
});

it('request crash ledger: a blocked request is remembered while it comes, and then for half an hour', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['bad'], 0, true));
  let now = 0;
  for (; now < 240 * MINUTE_MS; now += MINUTE_MS) {
    sight('refused', 'bad', now);
    expect(blamed(), `after ${now} ms`).to.deep.equal(['bad']);
  }
  crash('i4', ['other'], now + 31 * MINUTE_MS);
  expect(blamed()).to.deep.equal([]);
});

it('request crash ledger: memory is bounded, and requests with one crash are dropped first', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['bad'], 0, true));
  for (let count = 0; count < 3 * MAX_RECORDS; count += 1) {
    crash(`j${count}`, [`r${count}`], 1 + count);
  }
  const {requestCrashes} = ledger.records(9_999);
  expect(requestCrashes.length).to.be.at.most(MAX_RECORDS);
  expect(blamed()).to.deep.equal(['bad']);
});

it('request crash ledger: records are merged once, whatever their order and source', () => {
  crash('i1', ['a', 'b'], 10, true);
  crash('i2', ['a'], 20);
  sight('completed', 'b', 30);
  const other = new RequestCrashLedger();
  const records = ledger.records(100);
  expect(other.add(records, 100).requestCrashes).to.have.length(3);
  const again = other.add(ledger.records(200), 200);
  expect(again).to.deep.equal({requestCrashes: [], requestSightings: []});
  expect(other.recordsMissingIn(records, 200)).to.deep.equal(again);
  expect([...other.openCrashes().keys()]).to.deep.equal(['a']);
});
