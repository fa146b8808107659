import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {afterPoll, LoopClock} from '@marigoldspur/loop-clock';

it('loop clock: without lateness, what is read has just arrived', () => {
  const clock = new LoopClock(0);
  clock.recordTurn(20);
  clock.recordTurn(40);
  expect(clock.earliestArrival(45)).to.equal(45);
});

it('loop clock: what is read after a long turn may have arrived at its start', () => {
  const clock = new LoopClock(0);
  clock.recordTurn(20);
  clock.recordTurn(40);
  expect(clock.earliestArrival(1_500)).to.equal(20);
  clock.recordTurn(1_500);
  expect(clock.earliestArrival(1_501)).to.equal(40);
  clock.recordTurn(1_520);
  expect(clock.earliestArrival(1_521)).to.equal(1_521);
});

it('after poll: a connection that was closed before has told so', async () => {
  let isClosed = false;
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.on('close', () => (isClosed = true));
    socket.resume();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const client = net.connect(port, '127.0.0.1');
  await new Promise(resolve => server.once('connection', resolve));
  const closed = new Promise(resolve => client.once('close', resolve));
  client.resetAndDestroy();
  await closed;
  await afterPoll();
  expect(isClosed).to.equal(true);
  server.close();
});
