import http from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {TargetHealthMonitor} from '@marigoldspur/dispatch';
import {EventLog} from '@marigoldspur/event-log';
import {
  agentAnswer,
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

it('health: a silent agent is left before the first-byte bound', async () => {
  agent = await startFakeAgent(() => {});
  const sent = await client.send(attemptAt(agent));
  expect(sent.isErr && sent.error).to.include({
    reason: 'agent_silent',
    outcome: 'unknown',
  });
});

it('health: a silent agent did not run what may not be repeated', async () => {
  agent = await startFakeAgent(() => {});
  const hop = {...HOP, repeatable: false};
  const sent = await client.send(attemptAt(agent, {hop}));
  expect(sent.isErr && sent.error).to.include({
    reason: 'agent_silent',
    outcome: 'not-run',
  });
});

it('health: a slow target beside a live agent is waited for', async () => {
  agent = await startFakeAgent(async (socket, bytes) => {
    if (bytes.startsWith('GET /healthz')) {
      socket.write(HEALTHY);
      return;
    }
    await pause(LONGER_THAN_SILENCE_MS);
    socket.write(agentAnswer('text/plain', 'slow'));
  });
  const sent = await client.send(attemptAt(agent));
  expect(sent.isOk).to.equal(true);
});

/** An agent that continues an attempt and then does as `act` says; it answers probes while `isAlive`. */
function continuing(
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

const ONCE = {...HOP, repeatable: false};

it('health: a call that may be running at a lost agent ends as unknown, with when to come back', async () => {
  agent = await continuing(() => false);
  const sent = await client.send(attemptAt(agent, {hop: ONCE}));
  expect(sent.isErr && sent.error).to.include({
    reason: 'agent_silent',
    outcome: 'unknown',
    retryAfterSeconds: 1,
  });
});

it('health: a stream that breaks off at a lost agent is ended', async () => {
  agent = await continuing(
    () => false,
    socket => socket.write(agentAnswer('text/plain', 'begun').slice(0, -20)),
  );
  const sent = await client.send(attemptAt(agent, {hop: ONCE}));
  const {message} = sent.unwrapOrElse(({reason}) => expect.fail(reason));
  message.resume();
  await new Promise(resolve => message.once('error', resolve));
  expect(message.complete).to.equal(false);
});

it('health: a call at an agent that is silent for less than a lease is waited for', async () => {
  let alive = false;
  agent = await continuing(
    () => alive,
    async socket => {
      await pause(LONGER_THAN_SILENCE_MS);
      alive = true;
      socket.write(agentAnswer('text/plain', 'thawed', ONCE));
    },
  );
  const sent = await client.send(attemptAt(agent, {hop: ONCE}));
  expect(sent.isOk).to.equal(true);
});

it('health: a call and a stream that pause beside a live agent are waited for', async () => {
  const whole = agentAnswer('text/plain', 'paused', ONCE);
  agent = await continuing(
    () => true,
    async socket => {
      await pause(LONGER_THAN_LEASE_MS);
      socket.write(whole.slice(0, -20));
      await pause(LONGER_THAN_LEASE_MS);
      socket.write(whole.slice(-20));
    },
  );
  const sent = await client.send(attemptAt(agent, {hop: ONCE}));
  const {message} = sent.unwrapOrElse(({reason}) => expect.fail(reason));
  message.resume();
  await new Promise(resolve => message.once('end', resolve));
  expect(message.complete).to.equal(true);
});

it('health: a target that refuses connections gets no work while others serve', () => {
  const health = new TargetHealthMonitor({
    agent: new http.Agent(),
    events: new EventLog({process: 'entry-0'}),
  });
  const destinations = ['a', 'b', 'c'].map(target => ({
    target,
    url: 'http://127.0.0.1:1',
    boot: 'boot-1',
  }));
  health.recordFailure(destinations[1], 'connect-failed', 0);
  const usable = health.usable(destinations, 0).map(({target}) => target);
  expect(usable).to.deep.equal(['a', 'c']);
  const restarted = {...destinations[1], boot: 'boot-2'};
  expect(health.usable([restarted, destinations[0]], 0)).to.have.length(2);
  health.stop();
});
