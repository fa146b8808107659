import {expect} from 'chai';
import {
  CrashLedger,
  findBlamedParts,
  findBlockedPart,
} from '@marigoldspur/crash-attribution';
import type {CrashReport} from '@marigoldspur/deployment';

const RETENTION_MS = 1_800_000;
let ledger: CrashLedger;
let reportCount: number;

beforeEach(() => {
  ledger = new CrashLedger();
  reportCount = 0;
});

/** Reports that an engine crashed on a call with these parts. */
function crash(
  engine: string,
  parts: string[],
  at: number,
  changes: Partial<CrashReport> = {},
): void {
  reportCount += 1;
  const report = {
    entry: 'e1',
    target: engine,
    bornAt: 0,
    model: 'm',
    parts,
    prompt: `own${reportCount}`,
    hasHead: true,
    ageMs: 0,
    ...changes,
  };
  ledger.add({reports: [report], sightings: []}, at);
}

function sight(
  kind: 'completed' | 'refused',
  part: string,
  at: number,
  model = 'm',
): void {
  const sighting = {kind, model, part, ageMs: 0};
  ledger.add({reports: [], sightings: [sighting]}, at);
}

function blamed(): string[] {
  return [...findBlamedParts(ledger).keys()].sort();
}

function isBlocked(model: string, parts: string[]): boolean {
  const blames = findBlamedParts(ledger);
  return (
    findBlockedPart(blames, ledger, model, [...parts, 'own']) !== undefined
  );
}

it('blamed parts: the part behind a shared first part is blamed after three engines', () => {
  crash('i1', ['f', 'bad'], 0);
  crash('i2', ['f', 'bad'], 1_000);
  expect(blamed()).to.deep.equal([]);
  crash('i3', ['f', 'bad'], 2_000);
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed parts: several calls at one engine count as one crash', () => {
  for (let index = 0; index < 10; index += 1) {
    crash('i1', ['f', 'bad'], 0);
  }
  expect(blamed()).to.deep.equal([]);
});

it('blamed parts: one prompt that is sent again and again blames no part', () => {
  for (const engine of ['i1', 'i2', 'i3', 'i4']) {
    crash(engine, ['f', 'p'], 0, {prompt: 'same'});
  }
  expect(blamed()).to.deep.equal([]);
});

it('blamed parts: a crashing first part is blamed if the parts behind it differ', () => {
  ['i1', 'i2', 'i3'].forEach((engine, index) =>
    crash(engine, ['bad', `p${index}`], index),
  );
  expect(blamed()).to.deep.equal(['bad']);
});

it('blamed parts: a part with a complete answer after the crashes is not blamed', () => {
  ['i1', 'i2', 'i3'].forEach((engine, index) =>
    crash(engine, ['f', `p${index}`], index),
  );
  sight('completed', 'f', 100);
  expect(blamed()).to.deep.equal([]);
});

it('blamed parts: a complete answer lifts a blame', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['f', 'p'], 0));
  expect(blamed()).to.deep.equal(['p']);
  sight('completed', 'p', 100);
  sight('completed', 'f', 100);
  expect(blamed()).to.deep.equal([]);
});

it('blamed parts: a part that was sound before needs more crashes', () => {
  sight('completed', 'p', 0);
  sight('completed', 'f', 0);
  ['i1', 'i2', 'i3', 'i4', 'i5'].forEach((engine, index) =>
    crash(engine, ['f', 'p'], 100 + index),
  );
  expect(blamed()).to.deep.equal([]);
  crash('i6', ['f', 'p'], 200);
  expect(blamed()).to.deep.equal(['p']);
});

it('blamed parts: two crashing parts behind one sound first part are both blamed, and the first part is not', () => {
  sight('completed', 'f', 0);
  for (let index = 0; index < 6; index += 1) {
    crash(`i${index}`, ['f', `bad${index % 2}`], 100 + index);
  }
  sight('completed', 'f', 103);
  expect(blamed()).to.deep.equal(['bad0', 'bad1']);
});

it('blamed parts: a first part that several blamed parts share is blamed once no call with it is answered', () => {
  for (let index = 0; index < 6; index += 1) {
    crash(`i${index}`, ['bad', `p${index % 2}`], index);
  }
  expect(blamed()).to.include('bad');
});

it('blamed parts: calls that an engine had not begun to answer count only without one that it had', () => {
  sight('completed', 'f', 3);
  for (let index = 0; index < 3; index += 1) {
    crash(`i${index}`, ['f', 'bad'], index);
    crash(`i${index}`, ['f', 'waiting'], index, {hasHead: false});
  }
  expect(blamed()).to.deep.equal(['bad']);
  for (let index = 3; index < 6; index += 1) {
    crash(`i${index}`, ['f', 'other'], index, {hasHead: false});
  }
  expect(blamed()).to.deep.equal(['bad', 'other']);
});

it('blamed parts: a part is refused under each model but one that answered it', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['f', 'bad'], 0));
  expect(isBlocked('m', ['f', 'bad'])).to.equal(true);
  expect(isBlocked('other', ['f', 'bad'])).to.equal(true);
  sight('completed', 'bad', 10, 'other');
  expect(isBlocked('other', ['f', 'bad'])).to.equal(false);
  expect(isBlocked('m', ['f', 'bad'])).to.equal(true);
});

it('blamed parts: the last part of a prompt is never the reason to refuse a call', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['f', 'bad'], 0));
  const blames = findBlamedParts(ledger);
  expect(findBlockedPart(blames, ledger, 'm', ['f', 'bad'])).to.equal(
    undefined,
  );
});

it('blamed parts: crashes under several models add up', () => {
  crash('i1', ['f', 'bad'], 0, {model: 'm1'});
  crash('i2', ['f', 'bad'], 1, {model: 'm2'});
  crash('i3', ['f', 'bad'], 2, {model: 'm1'});
  expect(blamed()).to.deep.equal(['bad']);
});

it('crash ledger: reports expire only once no such calls come any more', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['f', 'bad'], 0));
  sight('refused', 'bad', RETENTION_MS - 1);
  sight('completed', 'x', RETENTION_MS + 1);
  expect(blamed()).to.deep.equal(['bad']);
  sight('completed', 'x', 3 * RETENTION_MS);
  expect(blamed()).to.deep.equal([]);
});

it('crash ledger: records are merged once, whatever their order and source', () => {
  ['i1', 'i2', 'i3'].forEach(engine => crash(engine, ['f', 'bad'], 1_000));
  sight('completed', 'f', 1_500);
  const records = ledger.records(2_000);
  const other = new CrashLedger();
  expect(other.add(records, 50).reports).to.have.length(3);
  expect(other.add(records, 60)).to.deep.equal({reports: [], sightings: []});
  expect([...findBlamedParts(other).keys()]).to.deep.equal(['bad']);
  expect(ledger.recordsMissingIn(records, 2_000).reports).to.have.length(0);
});

it('crash ledger: memory is bounded', () => {
  for (let index = 0; index < 1_500; index += 1) {
    crash(`i${index}`, [`f${index}`], index);
    sight('completed', `f${index}`, index);
  }
  const {reports, sightings} = ledger.records(1_500);
  expect(reports).to.have.length(1_024);
  expect(sightings).to.have.length(1_024);
});
