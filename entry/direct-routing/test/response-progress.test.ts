import {EventEmitter, once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import net, {type AddressInfo} from 'node:net';
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

// Guards against a response that counts as complete because this process closed its connection.
it('response progress: an unframed response that this process stops reading is not complete', async () => {
  const target = net.createServer(socket => {
    socket.on('error', () => {});
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
  });
  await new Promise<void>(resolve => target.listen(0, '127.0.0.1', resolve));
  const {port} = target.address() as AddressInfo;
  const stop = async (close: (message: IncomingMessage) => void) => {
    const request = http.get({port, host: '127.0.0.1', agent: false});
    request.on('error', () => {});
    const [message] = (await once(request, 'response')) as [IncomingMessage];
    message.on('error', () => {});
    const ended = new Promise<ResponseEnd>(onEnd => {
      const options = {isStream: false, onEnd};
      return new ResponseProgress({method: 'GET', message}, options);
    });
    close(message);
    return ended;
  };
  const ends = [
    await stop(message => message.destroy()),
    await stop(({socket}) => socket.destroy()),
    await stop(({socket}) => socket.resetAndDestroy()),
  ];
  target.close();
  expect(ends.map(({isComplete}) => isComplete)).to.deep.equal(
    ends.map(() => false),
  );
  expect(ends[0].isStopped).to.equal(true);
});
