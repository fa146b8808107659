import {expect} from 'chai';
import fc from 'fast-check';
import {
  formatPrefixChanges,
  MAX_PREFIX_CHANGES,
  parsePrefixChanges,
} from '@marigoldspur/messages';

const SEED = 67_001;
const KEY = fc.stringMatching(/^[\w-]{12}$/);
const CHANGE = fc.record({key: KEY, held: fc.boolean()});

it('prefix changes: parse is the inverse of format', () => {
  const changes = fc.record({
    boot: fc.uuid(),
    changes: fc.array(CHANGE, {minLength: 1, maxLength: MAX_PREFIX_CHANGES}),
  });
  fc.assert(
    fc.property(changes, original => {
      const parsed = parsePrefixChanges(formatPrefixChanges(original));
      expect(parsed).to.deep.equal(original);
    }),
    {seed: SEED},
  );
});

it('prefix changes: a malformed header value is parsed as undefined', () => {
  const word = '+abcdefghijkl';
  const texts = [
    undefined,
    '',
    'boot',
    word,
    ` ${word}`,
    'boot +short',
    `boot *${word.slice(1)}`,
    `boot ${word}  ${word}`,
    `boot${` ${word}`.repeat(MAX_PREFIX_CHANGES + 1)}`,
    ['boot', word],
  ];
  for (const text of texts) {
    expect(parsePrefixChanges(text), String(text)).to.equal(undefined);
  }
});
