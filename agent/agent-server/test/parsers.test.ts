import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import fc from 'fast-check';
import {createResponseCheck} from '../src/response-check.js';
import {forwardedHeaders} from '../src/attempt-headers.js';
import {readBodyModel} from '../src/body-model.js';

const SEED = Number(process.env['FAST_CHECK_SEED'] ?? 3);
const RUNS = Number(process.env['FAST_CHECK_RUNS'] ?? 500);
const STREAM = [
  ': comment\n\n',
  'data: {"model":"a@1","text":"data: [DONE]"}\n\n',
  'data: {"model":"a@1","text":"w"}\n\n',
  'data: [DONE]\n\n',
].join('');

it('body model: the model of any JSON object with one model is read', () => {
  fc.assert(
    fc.property(fc.dictionary(fc.string(), fc.jsonValue()), fields => {
      const model = 'a@1';
      const rest = Object.fromEntries(
        Object.entries(fields).filter(([key]) => key.toLowerCase() !== 'model'),
      );
      const body = Buffer.from(JSON.stringify({...rest, model}));
      expect(readBodyModel(body).unwrapOr('')).to.equal(model);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

it('body model: any bytes result in a model or an error, never in an exception', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      const result = readBodyModel(Buffer.from(bytes));
      expect(result.isOk || result.error.length > 0).to.equal(true);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

it('body model: invalid UTF-8, arrays and nested models are refused', () => {
  for (const body of [
    Buffer.from([0x7b, 0x22, 0xff, 0x22, 0x3a, 0x31, 0x7d]),
    Buffer.from('["model"]'),
    Buffer.from('{"x":{"model":"a@1"}}'),
    Buffer.from('{"model":1}'),
    Buffer.from('{"model":"a@1"'),
  ]) {
    expect(readBodyModel(body).isErr, body.toString()).to.equal(true);
  }
});

/**
 * Checks a text that is split at the given offsets, and returns the fault or
 * the forwarded text.
 */
function checkPieces(text: string, cuts: readonly number[]): string {
  const check = createResponseCheck(
    {
      statusCode: 200,
      headers: {'content-type': 'text/event-stream'},
    } as IncomingMessage,
    'a@1',
  );
  const offsets = [0, ...cuts, text.length].sort((a, b) => a - b);
  let passed = '';
  for (let index = 1; index < offsets.length; index += 1) {
    const piece = text.slice(offsets[index - 1], offsets[index]);
    const checked = check.checkChunk(Buffer.from(piece));
    if (checked.fault !== undefined) {
      return checked.fault;
    }
    passed += Buffer.concat(checked.pass).toString();
  }
  return check.finish().fault ?? passed;
}

it('response check: the result for a stream does not depend on how it is split into chunks', () => {
  const cuts = fc.array(fc.nat(STREAM.length), {maxLength: 8});
  fc.assert(
    fc.property(cuts, fc.nat(STREAM.length - 1), (offsets, end) => {
      expect(checkPieces(STREAM, offsets)).to.equal(STREAM);
      expect(checkPieces(`${STREAM}data: x\n\n`, offsets)).to.equal('torn');
      const other = STREAM.replaceAll('a@1', 'b@1');
      expect(checkPieces(other, offsets)).to.equal('crossed');
      if (STREAM.slice(end).trim() !== '') {
        const cut = STREAM.slice(0, end);
        const within = offsets.filter(offset => offset <= end);
        expect(checkPieces(cut, within)).to.equal('torn');
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

it('headers: connection headers and internal headers are not forwarded', () => {
  const message = {
    headers: {connection: 'keep-alive, X-Secret'},
    headersDistinct: {
      connection: ['keep-alive, X-Secret'],
      'x-secret': ['1'],
      'transfer-encoding': ['chunked'],
      'content-length': ['5'],
      'x-marigoldspur-model': ['b@1'],
      'x-twice': ['1', '2'],
      'set-cookie': ['a=1', 'b=2'],
    },
  } as unknown as IncomingMessage;
  expect(forwardedHeaders(message)).to.deep.equal({
    'x-twice': ['1', '2'],
    'set-cookie': ['a=1', 'b=2'],
  });
});
