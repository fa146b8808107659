import http from 'node:http';
import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {FramingCheck, relayResponse} from '@marigoldspur/dispatch';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';

interface Received {
  readonly bytes: string;
  readonly end: 'closed' | 'reset';
}

/**
 * Relays a response whose target then ends its connection as given; returns
 * what the caller's socket received.
 */
async function relay(end: 'closed' | 'reset'): Promise<Received> {
  const target = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', async () => {
      socket.write(`${HEAD}half `);
      await pause(20);
      socket.write('and half');
      await pause(20);
      end === 'closed' ? socket.end() : socket.resetAndDestroy();
    });
  });
  const entry = http.createServer((request, response) => {
    const targetRequest = http.request({port: portOf(target)});
    let isBroken = false;
    targetRequest.on('error', () => (isBroken = true));
    targetRequest.on('response', message => {
      const upstream = {
        method: 'GET',
        message,
        isConnectionBroken: () => isBroken,
      };
      void relayResponse(upstream, response, {
        headers: {},
        maxBufferedBytes: 1_000,
        endsWithDone: false,
        createCheck: relayed => new FramingCheck(relayed),
        maxStoredBytes: 0,
        outlivesCaller: false,
        signal: new AbortController().signal,
      });
    });
    targetRequest.end();
  });
  await Promise.all([target, entry].map(server => listen(server)));
  const received = await readAll(portOf(entry));
  target.close();
  entry.close();
  return received;
}

function listen(server: net.Server): Promise<void> {
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

function portOf(server: net.Server): number {
  return (server.address() as net.AddressInfo).port;
}

function readAll(port: number): Promise<Received> {
  return new Promise(resolve => {
    let bytes = '';
    let end: Received['end'] = 'closed';
    const socket = net.connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    socket.on('data', piece => (bytes += piece.toString()));
    socket.on('error', () => (end = 'reset'));
    socket.on('close', () => resolve({bytes, end}));
  });
}

it('unframed responses: they are forwarded without a length and end with the connection', async () => {
  const {bytes, end} = await relay('closed');
  expect(end).to.equal('closed');
  expect(bytes).to.match(/\r\n\r\nhalf and half$/);
  expect(bytes.toLowerCase()).to.not.match(/content-length|chunked/);
});

it('unframed responses: a reset is forwarded as a reset', async () => {
  const {end} = await relay('reset');
  expect(end).to.equal('reset');
});
