/* Relays one unframed response to one caller, and ends as its parent process says. */
import http from 'node:http';
import net from 'node:net';
import {FramingCheck, relayResponse} from '@marigoldspur/dispatch';

const BODY = Buffer.alloc(4_190_000, 'x');

const target = net.createServer(socket => {
  socket.on('error', () => {});
  socket.once('data', () =>
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'),
  );
  socket.once('data', () => socket.end(BODY));
});
const entry = http.createServer((request, response) => {
  const {port} = target.address() as net.AddressInfo;
  http.get({port, agent: false}, message => {
    void relayResponse({method: 'GET', message}, response, {
      headers: {},
      maxBufferedBytes: 0,
      endsWithDone: false,
      createCheck: relayed => new FramingCheck(relayed),
      maxStoredBytes: 0,
      outlivesCaller: false,
      signal: new AbortController().signal,
    });
  });
});
process.on('message', end => {
  if (end === 'error') {
    setImmediate(() => {
      throw new Error('unexpected');
    });
  } else {
    process.exit(1);
  }
});
target.listen(0, '127.0.0.1', () =>
  entry.listen(0, '127.0.0.1', () =>
    process.send?.((entry.address() as net.AddressInfo).port),
  ),
);
