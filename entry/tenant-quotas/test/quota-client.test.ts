import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {QuotaDecision, QuotaRequest} from '@marigoldspur/deployment';
import {QuotaClient, QuotaMetrics} from '@marigoldspur/entry-quotas';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {quotaRole} from '@marigoldspur/tenant-quotas';

const URLS = ['http://a', 'http://b', 'http://c'];
const GRANTED: QuotaDecision = {isGranted: true, waitMs: 0, role: 'primary'};
const NONE: QuotaDecision = {isGranted: false, waitMs: 0, role: 'none'};

/** How a replica answers: with a decision for each grant, with a fault, or not at all. */
type Behaviour = QuotaDecision | Fault | 'silent';

let behaviours: Map<string, Behaviour>;
let queries: {replica: string; request: QuotaRequest}[];
let delayMs: number;
let wallOffsetMs: number;
let client: QuotaClient;

beforeEach(() => {
  behaviours = new Map(URLS.map(url => [url, NONE]));
  behaviours.set(urlOf('primary'), GRANTED);
  behaviours.set(urlOf('stand-in'), {...GRANTED, role: 'stand-in'});
  queries = [];
  delayMs = 0;
  wallOffsetMs = 0;
  client = new QuotaClient({
    exchange: async (replica, request) => {
      queries.push({replica, request});
      const behaviour = behaviours.get(replica)!;
      if (behaviour === 'silent') {
        return new Promise(() => undefined);
      }
      await pause(delayMs);
      if (behaviour instanceof Fault) {
        throw behaviour;
      }
      return {grants: request.grants.map(() => behaviour)};
    },
    replicas: () => URLS,
    clock: () => ({
      monotonicMs: performance.now(),
      wallMs: performance.now() + wallOffsetMs,
    }),
    events: new EventLog({process: 'test'}),
    metrics: new QuotaMetrics(new Registry()),
  });
});

afterEach(() => client.stop());

function urlOf(role: string): string {
  return URLS.find(url => quotaRole('t', URLS, url) === role)!;
}

function ask(amount = 1) {
  return client.request({tenant: 't', amount});
}

async function askedReplica(): Promise<string | undefined> {
  const outcome = await ask();
  return outcome.kind === 'granted' ? outcome.grant.replica : outcome.kind;
}

it('quota client: calls that arrive during a query go with the next one', async () => {
  delayMs = 20;
  const first = ask(1);
  const others = Array.from({length: 50}, (_, index) => ask(index + 2));
  const outcomes = await Promise.all([first, ...others]);
  expect(outcomes.every(({kind}) => kind === 'granted')).to.equal(true);
  expect(queries.map(({request}) => request.grants.length)).to.deep.equal([
    1, 50,
  ]);
});

it('quota client: a refusal states when there is room', async () => {
  const refused: QuotaDecision = {
    isGranted: false,
    waitMs: 70,
    role: 'primary',
  };
  behaviours.set(urlOf('primary'), refused);
  expect(await ask()).to.deep.equal({kind: 'exceeded', waitMs: 70});
  expect(queries).to.have.length(1);
});

it('quota client: the stand-in is asked once the primary has not answered for 300 ms, and at once for the next 2 s', async () => {
  behaviours.set(urlOf('primary'), 'silent');
  const startedAt = performance.now();
  expect(await askedReplica()).to.equal(urlOf('stand-in'));
  expect(performance.now() - startedAt).to.be.within(290, 600);
  expect(await askedReplica()).to.equal(urlOf('stand-in'));
  expect(performance.now() - startedAt).to.be.below(700);
  behaviours.set(urlOf('primary'), GRANTED);
  await pause(2_000);
  expect(await askedReplica()).to.equal(urlOf('primary'));
}).timeout(5_000);

it('quota client: a call that waits for the query of a frozen replica goes to the stand-in with it', async () => {
  behaviours.set(urlOf('primary'), 'silent');
  const startedAt = performance.now();
  const first = askedReplica();
  await pause(100);
  expect(await askedReplica()).to.equal(urlOf('stand-in'));
  expect(await first).to.equal(urlOf('stand-in'));
  expect(performance.now() - startedAt).to.be.below(600);
});

it('quota client: a late answer is discarded, also if only the wall clock shows that it is late', async () => {
  delayMs = 400;
  expect(await askedReplica()).to.equal('unavailable');
  client.stop();
  delayMs = 50;
  const late = askedReplica();
  expect(await late).to.equal('unavailable');
  await pause(2_100);
  const suspended = askedReplica();
  await pause(10);
  wallOffsetMs = 10_000;
  expect(await suspended).to.equal(urlOf('stand-in'));
}).timeout(5_000);

it('quota client: a replica that grants nothing is passed over, as the entry may know an old list', async () => {
  behaviours.set(urlOf('primary'), NONE);
  behaviours.set(urlOf('stand-in'), NONE);
  behaviours.set(urlOf('none'), GRANTED);
  expect(await askedReplica()).to.equal(urlOf('none'));
});

it('quota client: of a new primary that lacks units and a stand-in without room, the shorter wait counts', async () => {
  behaviours.set(urlOf('primary'), {...NONE, waitMs: 40});
  const full: QuotaDecision = {isGranted: false, waitMs: 900, role: 'stand-in'};
  behaviours.set(urlOf('stand-in'), full);
  expect(await ask()).to.deep.equal({kind: 'exceeded', waitMs: 40});
});

it('quota client: without a primary and a stand-in nothing is granted, and no third replica is waited for', async () => {
  behaviours.set(urlOf('primary'), new Fault('NO_QUORUM', 'none'));
  behaviours.set(urlOf('stand-in'), new Fault('UNAVAILABLE', 'none'));
  expect(await ask()).to.deep.equal({kind: 'unavailable'});
  expect(queries).to.have.length(2);
});

it('quota client: a replica without a quorum is asked again soon', async () => {
  behaviours.set(urlOf('primary'), new Fault('NO_QUORUM', 'none'));
  expect(await askedReplica()).to.equal(urlOf('stand-in'));
  behaviours.set(urlOf('primary'), GRANTED);
  await pause(300);
  expect(await askedReplica()).to.equal(urlOf('primary'));
});

it('quota client: an answer that misses decisions counts as none', async () => {
  const broken = {grants: []} as unknown as QuotaDecision;
  behaviours.set(urlOf('primary'), broken);
  expect(await askedReplica()).to.equal(urlOf('stand-in'));
});

it('quota client: unused units go back to their replica, in one message', async () => {
  const grants = await Promise.all([ask(5), ask(6), ask(7)]);
  const sent = queries.length;
  for (const outcome of grants) {
    if (outcome.kind === 'granted') {
      client.giveBack(outcome.grant);
    }
  }
  await pause(100);
  expect(queries.slice(sent)).to.deep.equal([
    {
      replica: urlOf('primary'),
      request: {grants: [], returns: [{tenant: 't', amount: 18}]},
    },
  ]);
});

it('quota client: units that were granted long ago are not given back', async () => {
  const outcome = await ask();
  await pause(550);
  if (outcome.kind === 'granted') {
    client.giveBack(outcome.grant);
  }
  await pause(100);
  expect(queries).to.have.length(1);
});
