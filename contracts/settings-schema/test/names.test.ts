import {expect} from 'chai';
import {formatModel, parseModel} from '@marigoldspur/settings-schema';

it('model: the adapter and the version are parsed', () => {
  const model = parseModel('recap@v1');
  expect(model.isOk && model.value).to.deep.equal({
    adapter: 'recap',
    version: 'v1',
  });
});

it('model: a text without both an adapter and a version is rejected', () => {
  for (const text of ['recap', '@v1', 'recap@', 'a@b@c', 'Recap@v1', '']) {
    expect(parseModel(text).isErr, text).to.equal(true);
  }
});

it('model: format is the inverse of parse', () => {
  const model = parseModel('a.b-c_d@2026-12');
  expect(model.isOk && formatModel(model.value)).to.equal('a.b-c_d@2026-12');
});
