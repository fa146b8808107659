import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {FramingCheck, relayResponse} from '@marigoldspur/dispatch';

/** More than the buffers of a connection hold, and less than what is buffered for a caller. */
const BODY_BYTES = 16_000_000;
const RELAY_OPTIONS = {
  headers: {},
  maxBufferedBytes: 2 * BODY_BYTES,
  endsWithDone: false,
  maxStoredBytes: 0,
  outlivesCaller: false,
};

function listen(server: net.Server): Promise<void> {
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

function portOf(server: net.Server): number {
  return (server.address() as net.AddressInfo).port;
}

// Guards against a part that looks whole because a broken off connection ends like any other.
it('broken off responses: one delimited by close is reset if its time ends before its caller has read it', async () => {
  const target = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n');
      socket.end(Buffer.alloc(BODY_BYTES, 'x'));
    });
  });
  const end = new AbortController();
  const entry = http.createServer((_request, response) => {
    const request = http.get({port: portOf(target)}, async message => {
      message.once('close', () => setImmediate(() => end.abort()));
      const {outcome} = await relayResponse(
        {method: 'GET', message},
        response,
        {
          ...RELAY_OPTIONS,
          createCheck: upstream => new FramingCheck(upstream),
          signal: end.signal,
        },
      );
      if (outcome === 'lost') {
        response.writeHead(502, {'content-length': 0}).end();
      }
      entry.emit('relayed', outcome);
    });
    request.on('error', () => {});
  });
  await Promise.all([listen(target), listen(entry)]);
  const caller = net.connect(portOf(entry), '127.0.0.1');
  let bytes = 0;
  let isReset = false;
  caller.on('error', () => (isReset = true));
  // Node.js may report a reset as an ordinary end; then the connection has no other side any more.
  caller.prependListener('end', () => {
    isReset ||= caller.remoteAddress === undefined;
  });
  let isRefused = false;
  caller.on('data', (piece: Buffer) => {
    isRefused ||= bytes === 0 && piece.includes(' 502 ');
    bytes += piece.length;
  });
  caller.pause();
  caller.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
  const [outcome] = await once(entry, 'relayed');
  caller.resume();
  await once(caller, 'close');
  target.close();
  entry.close();
  const isWhole = bytes > BODY_BYTES;
  expect({isHonest: isWhole || isReset || isRefused, outcome}).to.deep.equal({
    isHonest: true,
    outcome: isRefused ? 'lost' : isWhole ? 'whole' : 'torn',
  });
});
