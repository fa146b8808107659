import {expect} from 'chai';
import {
  Fixture,
  waitUntil,
  type AgentResponse,
  type StartedAgent,
} from './agent-fixture.js';

/** Budget of the attempt that waits, in milliseconds. */
const BUDGET_MS = 10_000;

/** An attempt that waits for the slot of a running stream. */
interface WaitingAttempt {
  readonly fixture: Fixture;
  readonly agent: StartedAgent;
  readonly response: Promise<AgentResponse>;
  readonly stopStream: () => void;
}

/** Starts an attempt that waits, and lets the engine start to leave meanwhile. */
async function waitAtLeavingEngine(): Promise<WaitingAttempt> {
  const {fixture, agent} = await Fixture.start({slots: 1, tokenMs: 5});
  const stream = new AbortController();
  let hasStarted = false;
  fixture
    .send(agent, {
      model: 'a@v1',
      stream: true,
      tokens: 4_000,
      signal: stream.signal,
      onData: () => {
        hasStarted = true;
      },
    })
    .catch(() => {});
  await waitUntil(() => hasStarted);
  const attempts = async () =>
    (await fixture.fetchEvents(agent)).filter(
      name => name === 'attempt-received',
    ).length;
  const before = await attempts();
  const response = fixture.send(agent, {model: 'b@v1', budgetMs: BUDGET_MS});
  await waitUntil(async () => (await attempts()) > before);
  await fixture.setFaults({leaving: true});
  await waitUntil(() =>
    [...fixture.control.members.values()].some(member => member.leaving),
  );
  return {fixture, agent, response, stopStream: () => stream.abort()};
}

function expectRefusedAsLeaving({headers, status}: AgentResponse): void {
  expect(status).to.equal(503);
  expect(headers['x-marigoldspur-reason']).to.equal('target_leaving');
  expect(headers['x-marigoldspur-outcome']).to.equal('not-run');
}

it('leaving targets: an attempt is not forwarded to an engine that started to leave while the attempt waited for a slot', async () => {
  const {fixture, response, stopStream} = await waitAtLeavingEngine();
  stopStream();
  expectRefusedAsLeaving(await response);
  const runs = await fixture.fetchRunRecords();
  expect(runs.map(({model}) => model)).to.not.include('b@v1');
});

it('leaving targets: the wait for a slot ends when the engine starts to leave', async () => {
  const {response, stopStream} = await waitAtLeavingEngine();
  const startedAt = performance.now();
  expectRefusedAsLeaving(await response);
  expect(performance.now() - startedAt).to.be.below(BUDGET_MS / 2);
  stopStream();
});
