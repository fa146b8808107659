import {expect} from 'chai';
import fc from 'fast-check';
import {applyEdits, editedTexts} from '@marigoldspur/boundary-fuzz';

const TEXT = 'HTTP/1.1 200 OK';

it('text edits: numbers and words are exchanged by their order', () => {
  const edited = (edit: 'number' | 'digits' | 'word', index: number) =>
    applyEdits(TEXT, [{edit, index, value: 'x'}]);
  expect(edited('number', 2)).to.equal('HTTP/1.1 x OK');
  expect(edited('number', 3)).to.equal('HTTP/x.1 200 OK');
  expect(edited('digits', 2)).to.equal('HTTP/1.1 xxx OK');
  expect(edited('word', 1)).to.equal('HTTP/1.1 200 x');
});

it('text edits: parts are changed, removed, repeated and cut off', () => {
  const at = 5_000;
  const edited = (...edits: Parameters<typeof applyEdits>[1]) =>
    applyEdits('abcdef', edits);
  expect(edited({edit: 'character', at, value: 'x'})).to.equal('abcxef');
  expect(edited({edit: 'remove', at, length: 2})).to.equal('abcf');
  expect(edited({edit: 'repeat', at, length: 2})).to.equal('abcdedef');
  expect(edited({edit: 'cut', at})).to.equal('abc');
  expect(edited()).to.equal('abcdef');
});

it('text edits: any edits can be applied to any text', () => {
  fc.assert(
    fc.property(editedTexts(fc.string(), 6), text => typeof text === 'string'),
    {seed: 1},
  );
});
