import {expect} from 'chai';
import {LineReader, LineTooLongError} from '../src/line-reader.js';

const TEXT = 'first\nsecond é line\n\nlast\n';
const LINES = ['first', 'second é line', '', 'last'];

it('lines: a line is complete wherever the stream is split into chunks', () => {
  const bytes = Buffer.from(TEXT);
  for (let size = 1; size <= bytes.length; size += 1) {
    const reader = new LineReader(100);
    const lines: string[] = [];
    for (let at = 0; at < bytes.length; at += size) {
      lines.push(...reader.push(bytes.subarray(at, at + size)));
    }
    expect(lines).to.deep.equal(LINES);
  }
});

it('lines: a line that is too long is rejected before it is buffered', () => {
  const reader = new LineReader(10);
  expect(reader.push(Buffer.from('0123456789\n'))).to.have.length(1);
  reader.push(Buffer.from('01234'));
  expect(() => reader.push(Buffer.from('567890'))).to.throw(LineTooLongError);
});
