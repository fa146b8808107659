import {EventEmitter} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {ResponseProgress, type ResponseEnd} from '@marigoldspur/direct-routing';

/** Ends a stream after these chunks; returns how far it got. */
function endAfter(
  chunks: string[],
  isStream = true,
  maxOutputTokens?: number,
): ResponseEnd {
  const message = Object.assign(new EventEmitter(), {
    headers: {},
    complete: false,
    statusCode: 200,
  }) as unknown as IncomingMessage;
  let end: ResponseEnd | undefined;
  const progress = new ResponseProgress(
    {method: 'POST', message},
    {isStream, maxOutputTokens, onEnd: reported => (end = reported)},
  );
  chunks.forEach(chunk => progress.add(Buffer.from(chunk)));
  message.emit('close');
  return end!;
}

it('response progress: only a whole event counts as an event', () => {
  expect(endAfter([]).hasEvent).to.equal(false);
  expect(endAfter(['id: 1\ndata: ha']).hasEvent).to.equal(false);
  expect(endAfter(['id: 1\ndata: half\n', '\n']).hasEvent).to.equal(true);
  expect(endAfter(['id: 1\r\ndata: half\r\n\r\n']).hasEvent).to.equal(true);
});

it('response progress: each byte of a plain body counts', () => {
  expect(endAfter([], false).hasEvent).to.equal(false);
  expect(endAfter(['{'], false).hasEvent).to.equal(true);
});

it('response progress: a response that breaks off is not complete', () => {
  expect(endAfter(['id: 1\ndata: half\n\n']).isComplete).to.equal(false);
});

/** Events that hold no token, at the start and at the end of a stream. */
const ROLE = 'id: 0\ndata: {"role":"assistant"}\n\n';
const USAGE = 'data: {"usage":{"completion_tokens":40}}\n\n';

function tokens(count: number): string {
  return Array.from(
    {length: count},
    (_, index) => `id: ${3 * index + 7}\r\ndata: ${index}\r\n\r\n`,
  ).join('');
}

it('response progress: a stream with all the tokens that its request allows is not exceeded', () => {
  const stream = ROLE + ': alive\n\n'.repeat(500) + tokens(40) + USAGE;
  expect(endAfter([stream], true, 40).isExceeded).to.equal(false);
  expect(endAfter([...stream], true, 40).isExceeded).to.equal(false);
});

it('response progress: a stream with more events than its request allows is exceeded however it is cut', () => {
  const stream = tokens(60);
  expect(endAfter([stream], true, 40).isExceeded).to.equal(true);
  expect(endAfter([...stream], true, 40).isExceeded).to.equal(true);
});

it('response progress: no bound holds without stated tokens or for a body that is no stream', () => {
  expect(endAfter([tokens(5_000)]).isExceeded).to.equal(false);
  expect(endAfter([tokens(5_000)], false, 1).isExceeded).to.equal(false);
});
