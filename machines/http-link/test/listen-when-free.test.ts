import {once} from 'node:events';
import net from 'node:net';
import {expect} from 'chai';
import {
  closeServer,
  listenWhenFree,
  PortWait,
  type Address,
} from '@marigoldspur/http-link';

const HOST = '127.0.0.1';

function createListener(onAwaited: () => void = () => {}) {
  const reports: string[] = [];
  return {
    reports,
    onAwaited(_address: Address, reason: string) {
      reports.push(reason.split(':')[0]);
      onAwaited();
    },
    onOpened: () => reports.push('opened'),
    onAcceptFailed: (_address: Address, reason: string) => reports.push(reason),
  };
}

// Guards against processes that end because a connection has got the number of their port.
it('listen when free: a server waits while an outgoing connection uses its port', async () => {
  const peer = net.createServer(socket => socket.on('error', () => {}));
  await once(peer.listen(0, HOST), 'listening');
  const socket = net.connect((peer.address() as net.AddressInfo).port, HOST);
  await once(socket, 'connect');
  const port = socket.localPort!;
  const server = net.createServer();
  // A reset leaves no state on the port.
  const listener = createListener(() => socket.resetAndDestroy());
  const opened = await listenWhenFree(server, {host: HOST, port}, listener);
  expect(opened).to.deep.equal({host: HOST, port});
  expect(listener.reports).to.deep.equal(['listen EADDRINUSE', 'opened']);
  expect(server.listenerCount('listening')).to.equal(0);
  await Promise.all([closeServer(server), closeServer(peer)]);
});

it('listen when free: a free port is opened without a report', async () => {
  const server = net.createServer();
  const listener = createListener();
  await listenWhenFree(server, {host: HOST, port: 0}, listener);
  expect(listener.reports).to.deep.equal([]);
  await closeServer(server);
});

// Guards against processes that end because one connection cannot be accepted.
it('listen when free: an error of accept is reported and the server goes on', async () => {
  const server = net.createServer(socket => socket.end());
  const listener = createListener();
  const {port} = await listenWhenFree(server, {host: HOST, port: 0}, listener);
  server.emit('error', new Error('accept ENETDOWN'));
  expect(listener.reports).to.deep.equal(['accept ENETDOWN']);
  const socket = net.connect(port, HOST).resume();
  await once(socket, 'end');
  await closeServer(server);
});

it('listen when free: an invalid port is an error at once', async () => {
  const address = {host: HOST, port: 70_000};
  const error = await listenWhenFree(
    net.createServer(),
    address,
    createListener(),
  ).catch((thrown: unknown) => thrown);
  expect(error).to.have.property('code', 'ERR_SOCKET_BAD_PORT');
});

it('port wait: a wait is reported at first and then once a minute', () => {
  const wait = new PortWait(1_000);
  const reportedAt: number[] = [];
  let now = 1_000;
  while (now < 122_000) {
    const step = wait.next('EADDRINUSE', now)!;
    expect(step.waitedMs).to.equal(now - 1_000);
    if (step.isReported) {
      reportedAt.push(now);
    }
    now += step.retryInMs;
  }
  expect(reportedAt).to.deep.equal([1_000, 61_000, 121_000]);
});

it('port wait: only errors that can pass are waited for', () => {
  const waitsFor = (code: string | undefined) =>
    new PortWait(0).next(code, 0) !== undefined;
  for (const code of ['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE']) {
    expect(waitsFor(code), code).to.equal(true);
  }
  for (const code of ['EACCES', 'EAFNOSUPPORT', 'EINVAL', undefined]) {
    expect(waitsFor(code), code).to.equal(false);
  }
});
