import http from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {TargetHealthMonitor} from '@marigoldspur/dispatch';
import {EventLog} from '@marigoldspur/event-log';
import {
  agentResponse,
  attemptAt,
  createClient,
  HOP,
  startFakeAgent,
  type FakeAgent,
} from './fake-agent.js';

const LONGER_THAN_SILENCE_MS = 2_500;
const LONGER_THAN_LEASE_MS = 5_000;
const HEALTHY = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';

let agent: FakeAgent | undefined;
const client = createClient();

afterEach(() => agent?.stop());
after(() => client.close());

it('health: an attempt at a silent agent ends before the first-byte timeout', async () => {
  agent = await startFakeAgent(() => {});
  const sent = await client.send(attemptAt(agent));
  expect(sent.isErr && sent.error).to.include({
    reason: 'agent_silent',
    outcome: 'unknown',
  });
});

it('health: a silent agent did not run a non-repeatable request', async () => {
  agent = await startFakeAgent(() => {});
  const hop = {...HOP, repeatable: false};
  const sent = await client.send(attemptAt(agent, {hop}));
  expect(sent.isErr && sent.error).to.include({
    reason: 'agent_silent',
    outcome: 'not-run',
  });
});

it('health: an attempt at a slow target with a live agent continues', async () => {
  agent = await startFakeAgent(async (socket, bytes) => {
    if (bytes.startsWith('GET /healthz')) {
      socket.write(HEALTHY);
      return;
    }
    await pause(LONGER_THAN_SILENCE_MS);
    socket.write(agentResponse('text/plain', 'slow'));
  });
  const sent = await client.send(attemptAt(agent));
  expect(sent.isOk).to.equal(true);
});

/**
 * Starts an agent that sends `100 Continue` for an attempt and calls `act` once
 * the body arrives; it responds to probes while `isAlive` returns true.
 */
function startContinuingAgent(
  isAlive: () => boolean,
  act: (socket: Socket) => void = () => {},
): Promise<FakeAgent> {
  return startFakeAgent((socket, bytes) => {
    if (bytes.startsWith('GET /healthz')) {
      if (isAlive()) {
        socket.write(HEALTHY);
      }
      return;
    }
    if (bytes.endsWith('\r\n\r\n')) {
      socket.write('HTTP/1.1 100 Continue\r\n\r\n');
      return;
    }
    act(socket);
  });
}

const NOT_REPEATABLE = {...HOP, repeatable: false};

it('health: a call that may be running at a lost agent ends as unknown with a retry delay', async () => {
  agent = await startContinuingAgent(() => false);
  const sent = await client.send(attemptAt(agent, {hop: NOT_REPEATABLE}));
  expect(sent.isErr && sent.error).to.include({
    reason: 'agent_silent',
    outcome: 'unknown',
    retryAfterSeconds: 1,
  });
});

it('health: a stream from a lost agent is ended', async () => {
  agent = await startContinuingAgent(
    () => false,
    socket => socket.write(agentResponse('text/plain', 'begun').slice(0, -20)),
  );
  const sent = await client.send(attemptAt(agent, {hop: NOT_REPEATABLE}));
  const {message} = sent.unwrapOrElse(({reason}) => expect.fail(reason));
  message.resume();
  await new Promise(resolve => message.once('error', resolve));
  expect(message.complete).to.equal(false);
});

it('health: a call at an agent that is silent for less than a lease continues', async () => {
  let isAlive = false;
  agent = await startContinuingAgent(
    () => isAlive,
    async socket => {
      await pause(LONGER_THAN_SILENCE_MS);
      isAlive = true;
      socket.write(agentResponse('text/plain', 'thawed', NOT_REPEATABLE));
    },
  );
  const sent = await client.send(attemptAt(agent, {hop: NOT_REPEATABLE}));
  expect(sent.isOk).to.equal(true);
});

it('health: a call and a stream that pause at a live agent continue', async () => {
  const whole = agentResponse('text/plain', 'paused', NOT_REPEATABLE);
  agent = await startContinuingAgent(
    () => true,
    async socket => {
      await pause(LONGER_THAN_LEASE_MS);
      socket.write(whole.slice(0, -20));
      await pause(LONGER_THAN_LEASE_MS);
      socket.write(whole.slice(-20));
    },
  );
  const sent = await client.send(attemptAt(agent, {hop: NOT_REPEATABLE}));
  const {message} = sent.unwrapOrElse(({reason}) => expect.fail(reason));
  message.resume();
  await new Promise(resolve => message.once('end', resolve));
  expect(message.complete).to.equal(true);
});

it('health: a target that refuses connections gets no requests while others serve', () => {
  const monitor = new TargetHealthMonitor({
    agent: new http.Agent(),
    events: new EventLog({process: 'entry-0'}),
  });
  const destinations = ['a', 'b', 'c'].map(target => ({
    target,
    url: 'http://127.0.0.1:1',
    boot: 'boot-1',
  }));
  monitor.recordFailure(destinations[1], 'connect-failed', 0);
  const usable = monitor
    .filterUsable(destinations, 0)
    .map(({target}) => target);
  expect(usable).to.deep.equal(['a', 'c']);
  const restarted = {...destinations[1], boot: 'boot-2'};
  expect(monitor.filterUsable([restarted, destinations[0]], 0)).to.have.length(
    2,
  );
  monitor.stop();
});
