import {EventEmitter} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {ResponseProgress, type ResponseEnd} from '@marigoldspur/direct-routing';

/** Ends a stream after these chunks; returns how far it got. */
function endAfter(chunks: string[], isStream = true): ResponseEnd {
  const message = Object.assign(new EventEmitter(), {
    headers: {},
    complete: false,
    statusCode: 200,
  }) as unknown as IncomingMessage;
  let end: ResponseEnd | undefined;
  const progress = new ResponseProgress(
    {method: 'POST', message},
    isStream,
    reported => (end = reported),
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
