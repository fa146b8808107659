import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {formatSerialNumber} from '@marigoldspur/test-certificates';

// Guards against certificates that OpenSSL rejects as "illegal padding": 1 in 512 had a serial number
// with two leading zero bytes.
it('serial numbers: no random bytes give a redundant zero byte or a negative number', () => {
  for (const bytes of [
    [0, 0, 0, 1],
    [0, 0x7f, 0, 1],
    [0x80, 0, 0, 1],
    [0xff, 0xff, 0, 1],
  ]) {
    const first = parseInt(
      formatSerialNumber(Buffer.from(bytes)).slice(0, 2),
      16,
    );
    expect(first).to.be.within(0x01, 0x7f);
  }
});

it('serial numbers: all other bytes are kept', () => {
  expect(formatSerialNumber(Buffer.from([0, 0, 0xab, 0xcd]))).to.equal(
    '4000abcd',
  );
});
