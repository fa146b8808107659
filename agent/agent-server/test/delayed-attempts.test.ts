import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {
  waitUntil,
  Fixture,
  type AgentResponse,
  type AttemptOptions,
  type StartedAgent,
} from './agent-fixture.js';

const DELAY_MS = 2_000;
/**
 * After a network cut, a disconnect arrives about one round trip after the
 * delayed data.
 */
const DISCONNECT_DELAY_MS = 30;

let fixture: Fixture;
let agent: StartedAgent;

before(async () => {
  ({fixture, agent} = await Fixture.start());
  await fixture.send(agent, {model: 'a@v1', written: writtenAgo(0)});
});

function writtenAgo(ms: number) {
  return {clock: 'entry-0', atMs: performance.now() + 60_000 - ms};
}

/** Sends an attempt with a long transit delay. */
function sendDelayed(sending: Partial<AttemptOptions>): Promise<AgentResponse> {
  return fixture.send(agent, {
    model: 'a@v1',
    written: writtenAgo(DELAY_MS),
    ...sending,
  });
}

it('delayed attempts: an attempt that its entry has abandoned does not run', async () => {
  const entry = new AbortController();
  const request = 'given-up';
  const sent = sendDelayed({request, signal: entry.signal}).catch(() => {});
  await pause(DISCONNECT_DELAY_MS);
  entry.abort();
  await sent;
  const hasRun = async () =>
    (await fixture.fetchRunRecords()).some(run =>
      run.request.startsWith(request),
    );
  await waitUntil(
    async () =>
      (await fixture.fetchEvents(agent)).includes('attempt-cancelled') ||
      (await hasRun()),
  );
  expect(await hasRun()).to.equal(false);
});

it('delayed attempts: an attempt that its entry still waits for is served', async () => {
  const response = await sendDelayed({});
  expect(response.whole).to.equal(true);
});

it('delayed attempts: the budget starts when the attempt was written', async () => {
  const response = await sendDelayed({request: 'over', budgetMs: DELAY_MS / 2});
  expect(response.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'too_late',
  });
});
