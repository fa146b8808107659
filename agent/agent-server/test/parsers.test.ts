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

it('body model: any JSON object with one model gives that model', () => {
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

it('body model: any bytes give a model or an error, never a throw', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      const result = readBodyModel(Buffer.from(bytes));
      expect(result.isOk || result.error.length > 0).to.equal(true);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

it('body model: broken UTF-8, arrays and nested models are refused', () => {
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

/** What a check makes of text that comes in the given pieces. */
function verdict(text: string, cuts: readonly number[]): string {
  const check = createResponseCheck(
    {
      statusCode: 200,
      headers: {'content-type': 'text/event-stream'},
    } as IncomingMessage,
    'a@1',
  );
  const places = [0, ...cuts, text.length].sort((a, b) => a - b);
  let passed = '';
  for (let index = 1; index < places.length; index += 1) {
    const piece = text.slice(places[index - 1], places[index]);
    const checked = check.take(Buffer.from(piece));
    if (checked.fault !== undefined) {
      return checked.fault;
    }
    passed += Buffer.concat(checked.pass).toString();
  }
  return check.end().fault ?? passed;
}

it('answer check: a stream is judged alike in whatever pieces it comes', () => {
  const cuts = fc.array(fc.nat(STREAM.length), {maxLength: 8});
  fc.assert(
    fc.property(cuts, fc.nat(STREAM.length - 1), (places, end) => {
      expect(verdict(STREAM, places)).to.equal(STREAM);
      expect(verdict(`${STREAM}data: x\n\n`, places)).to.equal('torn');
      const other = STREAM.replaceAll('a@1', 'b@1');
      expect(verdict(other, places)).to.equal('crossed');
      if (STREAM.slice(end).trim() !== '') {
        const cut = STREAM.slice(0, end);
        const within = places.filter(place => place <= end);
        expect(verdict(cut, within)).to.equal('torn');
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

it('headers: those of a connection and of the system do not pass', () => {
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
