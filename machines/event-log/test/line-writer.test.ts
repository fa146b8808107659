import fs from 'node:fs';
import {expect} from 'chai';
import {LineWriter} from '@marigoldspur/event-log';

const originalWrite = fs.write;

let written: string;
let attempts: number;
/** Code of the error of each write; undefined while the disk has room. */
let code: string | undefined;
let onWrite: () => void;

beforeEach(() => {
  written = '';
  attempts = 0;
  code = undefined;
  onWrite = () => {};
  const write = (
    _descriptor: number,
    bytes: Buffer,
    from: number,
    length: number,
    done: (error: Error | null, count: number) => void,
  ) => {
    attempts += 1;
    const error =
      code === undefined ? null : Object.assign(new Error(), {code});
    written +=
      error === null ? bytes.toString('utf8', from, from + length) : '';
    setImmediate(() => {
      done(error, error === null ? length : 0);
      onWrite();
    });
  };
  Object.assign(fs, {write});
});

afterEach(() => Object.assign(fs, {write: originalWrite}));

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise<void>(resolve => (onWrite = resolve));
  }
}

for (const full of ['ENOSPC', 'EDQUOT']) {
  it(`line writer: lines go on once a full disk has room (${full})`, async () => {
    const writer = new LineWriter({descriptor: 1});
    code = full;
    writer.write('a');
    await until(() => attempts > 0);
    writer.write('b');
    code = undefined;
    await until(() => written === 'a\nb\n');
  }).timeout(5_000);
}

it('line writer: nothing is written after its reader has gone', async () => {
  const writer = new LineWriter({descriptor: 1});
  code = 'EPIPE';
  writer.write('a');
  await until(() => attempts > 0);
  code = undefined;
  expect(writer.write('b')).to.equal(false);
  expect(attempts).to.equal(1);
});
