import {expect} from 'chai';
import fc from 'fast-check';
import {EventBlockScanner} from '@marigoldspur/dispatch';
import {parseEventNumber} from '@marigoldspur/messages';

const SEED = 63;
const MAX_CUTS = 3;

/** Reads an event with this ID from bytes that are cut at `cuts`. */
function readEvent(id: string, cuts: readonly number[]) {
  const bytes = Buffer.from(`id: ${id}\ndata: x\n\n`, 'latin1');
  const ends = cuts.map(cut => cut % bytes.length).sort((a, b) => a - b);
  const scanner = new EventBlockScanner();
  let start = 0;
  for (const end of [...ends, bytes.length]) {
    scanner.findBlockEnd(bytes.subarray(start, end), 0);
    start = end;
  }
  return scanner.block;
}

for (const [text, expected] of [
  ['0', 0],
  ['007', 7],
  [' 12\t', 12],
  ['999999999999', 999_999_999_999],
  ['1000000000001', 1_000_000_000_001],
  ['9007199254740991', Number.MAX_SAFE_INTEGER],
  ['9007199254740992', undefined],
  ['00000000000000001', undefined],
  ['', undefined],
  ['-1', undefined],
  ['+1', undefined],
  ['1.0', undefined],
  ['1e3', undefined],
  ['0x10', undefined],
  ['1, 2', undefined],
  ['\u00a01', undefined],
] as const) {
  it(`event numbers: "${text}" is read as ${expected}`, () => {
    expect(parseEventNumber(text)).to.equal(expected);
    const {hasUnreadableId, number} = readEvent(text, []);
    expect(number).to.equal(expected);
    expect(hasUnreadableId).to.equal(expected === undefined);
  });
}

// Guards against a number that a stream states and a caller who takes it up cannot name.
it('event numbers: an ID is read alike in an event, cut anywhere, and in a header', () => {
  const id = fc.oneof(
    fc.bigInt({min: 0n, max: 2n ** 54n}).map(String),
    fc.stringMatching(/^[ \t]?[-+0]{0,70}[0-9.,e]{0,17}[ \t]?$/),
  );
  const cuts = fc.array(fc.nat(), {maxLength: MAX_CUTS});
  fc.assert(
    fc.property(id, cuts, (text, ends) => {
      const {hasUnreadableId, number} = readEvent(text, ends);
      expect(number).to.equal(parseEventNumber(text));
      expect(hasUnreadableId).to.equal(number === undefined);
    }),
    {seed: SEED},
  );
});

it('event numbers: an event with two IDs is not numbered', () => {
  expect(readEvent('1\nid: 1', []).hasUnreadableId).to.equal(false);
  expect(readEvent('1\nid: 2', []).hasUnreadableId).to.equal(true);
});
