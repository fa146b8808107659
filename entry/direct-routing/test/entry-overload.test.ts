import {expect} from 'chai';
import type {Deployment, Tenant} from '@marigoldspur/deployment';
import {EntryOverload} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import {RouteTable} from '@marigoldspur/routes';

const ROUTE = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/x/',
  streaming: false,
  idempotent: true,
  timeoutMs: 2_000,
  latencyObjectiveMs: 100,
  priority: 1,
  maxAttempts: 1,
  backends: [{service: 's', weight: 1}],
};
const CALL_INTERVAL_MS = 20;

let events: EventLog;

beforeEach(() => {
  events = new EventLog({process: 'test'});
});

/** Refusals of the calls of two seconds at an entry whose turns take `turnMs`. */
function play(
  turnMs: number,
  {
    tenants,
    hasContention = false,
    resumes,
  }: {tenants?: Tenant[]; hasContention?: boolean; resumes?: string},
): Refusal[] {
  const deployment: Deployment = {
    revision: 1,
    routes: [ROUTE],
    services: [],
    limits: {
      maxHeaderBytes: 1_000,
      maxBodyBytes: 10,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
    tenants,
  };
  const table = new RouteTable(deployment);
  const overload = new EntryOverload({
    clock: {lastingTurnMs: turnMs},
    routes: () => table,
    hasContention: () => hasContention,
    random: () => 0.5,
    events,
  });
  return Array.from({length: 100}, (_, index) =>
    overload.findRefusal(
      {deadlineMs: 1_000, resumes},
      ROUTE,
      undefined,
      index * CALL_INTERVAL_MS,
    ),
  ).filter(refusal => refusal !== undefined);
}

it('entry overload: an entry whose turns are lastingly late refuses calls, as not run, and says so once', () => {
  const refusals = play(200, {hasContention: true});
  expect(refusals.length).to.be.above(0);
  expect(refusals[0]).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'entry_overloaded',
    retryAfterSeconds: 0.375,
  });
  const names = events.eventsAfter(0, 10).map(({name}) => name);
  expect(names).to.deep.equal(['entry-overloaded']);
  expect(play(200, {tenants: []}).length).to.be.above(0);
});

it('entry overload: streams that are taken up are not refused', () => {
  expect(play(200, {hasContention: true, resumes: 'c0'})).to.deep.equal([]);
});

it('entry overload: an entry that is in time refuses nothing', () => {
  expect(play(20, {hasContention: true})).to.deep.equal([]);
});

// Guards against other deployments that are served differently than before.
it('entry overload: without tenants or a stated pace nothing is refused', () => {
  expect(play(200, {})).to.deep.equal([]);
});
