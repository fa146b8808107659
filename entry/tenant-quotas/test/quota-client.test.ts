import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {
  QuotaDecision,
  QuotaGrantRequest,
  QuotaRequest,
} from '@marigoldspur/deployment';
import {
  QuotaClient,
  QuotaMetrics,
  type QuotaGrant,
  type QuotaOutcome,
} from '@marigoldspur/entry-quotas';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';

const URLS = ['http://a', 'http://b', 'http://c'];
const [A, B, C] = URLS;

/** Decides one grant. */
type Decide = (request: QuotaGrantRequest) => QuotaDecision;
/** How a replica answers: with a decision for each grant, with a fault, or not at all. */
type Behaviour = Decide | Fault | 'silent';

let behaviours: Map<string, Behaviour>;
let queries: {replica: string; request: QuotaRequest}[];
let delayMs: number;
let wallOffsetMs: number;
let urls: readonly string[];
/** Rank of the replica that is asked first. */
let first: number;
let client: QuotaClient;

const grantAll: Decide = ({amount}) => ({granted: amount, waitMs: 0});

/** Grants amounts up to what there is, and parts of it if they are of use. */
function holding(units: number, waitMs = 70): Decide {
  return ({amount, isDivisible}) => {
    const part = isDivisible ? units : 0;
    const granted = amount <= units ? amount : part;
    return {granted, waitMs: granted === amount ? 0 : waitMs};
  };
}

function createClient(): QuotaClient {
  return new QuotaClient({
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
      return {grants: request.grants.map(behaviour)};
    },
    replicas: () => urls,
    clock: () => ({
      monotonicMs: performance.now(),
      wallMs: performance.now() + wallOffsetMs,
    }),
    random: () => first / urls.length,
    events: new EventLog({process: 'test'}),
    metrics: new QuotaMetrics(new Registry()),
  });
}

beforeEach(() => {
  behaviours = new Map(URLS.map(url => [url, grantAll]));
  queries = [];
  delayMs = 0;
  wallOffsetMs = 0;
  urls = URLS;
  first = 0;
  client = createClient();
});

afterEach(() => client.stop());

function ask(amount = 1): Promise<QuotaOutcome> {
  return client.request({tenant: 't', amount});
}

/** Lets all replicas answer alike. */
function setAll(behaviour: Behaviour): void {
  URLS.forEach(url => behaviours.set(url, behaviour));
}

/** Replicas that granted the parts, or why nothing was granted. */
function granters(outcome: QuotaOutcome): string {
  return outcome.kind === 'granted'
    ? outcome.grant.parts.map(({replica}) => replica).join()
    : outcome.kind;
}

function grantOf(outcome: QuotaOutcome): QuotaGrant {
  if (outcome.kind !== 'granted') {
    throw new Error(`the units were not granted: ${outcome.kind}`);
  }
  return outcome.grant;
}

async function askedReplica(): Promise<string> {
  return granters(await ask());
}

function returnsIn(sent: typeof queries) {
  return sent
    .filter(({request}) => request.returns.length > 0)
    .map(({replica, request}) => [replica, request.returns[0].amount])
    .sort();
}

it('quota client: calls that arrive during a query go with the next one', async () => {
  delayMs = 20;
  const others = Array.from({length: 51}, (_, index) => ask(index + 1));
  const outcomes = await Promise.all(others);
  expect(outcomes.every(({kind}) => kind === 'granted')).to.equal(true);
  expect(queries.map(({request}) => request.grants.length)).to.deep.equal([
    1, 50,
  ]);
});

it('quota client: replicas are asked from a random one on, so that all shares are used', async () => {
  const asked: string[] = [];
  for (first of [0, 1, 2]) {
    asked.push(await askedReplica());
  }
  expect(asked).to.deep.equal(URLS);
});

it('quota client: a replica without room for all units is followed by the next one', async () => {
  behaviours.set(A, holding(5));
  behaviours.set(B, holding(5));
  expect(granters(await ask(6))).to.equal(C);
  const isDivisible = queries.map(({request}) => request.grants[0].isDivisible);
  expect(isDivisible).to.deep.equal([false, false, false]);
});

// Guards against refusals of calls within the quota that are larger than any replica's share.
it('quota client: parts are collected if no replica has room for all units', async () => {
  setAll(holding(5));
  const grant = grantOf(await ask(12));
  expect(grant.parts.map(({amount}) => amount)).to.deep.equal([5, 5, 2]);
  client.giveBack(grant);
  const sent = queries.length;
  await pause(100);
  expect(returnsIn(queries.slice(sent))).to.deep.equal([
    [A, 5],
    [B, 5],
    [C, 2],
  ]);
});

it('quota client: parts that do not suffice are given back, and the refusal states when there is room', async () => {
  setAll(holding(5));
  expect(await ask(16)).to.deep.equal({kind: 'exceeded', waitMs: 70});
  const sent = queries.length;
  await pause(100);
  expect(returnsIn(queries.slice(sent))).to.deep.equal([
    [A, 5],
    [B, 5],
    [C, 5],
  ]);
});

it('quota client: a shortage is remembered for a moment, for amounts at least as large', async () => {
  setAll(holding(0));
  expect(granters(await ask(10))).to.equal('exceeded');
  const sent = queries.length;
  setAll(grantAll);
  expect(granters(await ask(10))).to.equal('exceeded');
  expect(granters(await ask(11))).to.equal('exceeded');
  expect(queries).to.have.length(sent);
  expect(granters(await ask(9))).to.equal(A);
  await pause(80);
  expect(granters(await ask(10))).to.equal(A);
});

it('quota client: the next replica is asked once one has not answered for 300 ms, and at once for the next 2 s', async () => {
  behaviours.set(A, 'silent');
  const startedAt = performance.now();
  expect(await askedReplica()).to.equal(B);
  expect(performance.now() - startedAt).to.be.within(290, 600);
  expect(await askedReplica()).to.equal(B);
  expect(performance.now() - startedAt).to.be.below(700);
});

// Guards against calls that are refused for 2 s after all replicas were killed and are back.
it('quota client: replicas that failed are found soon once they answer again', async () => {
  urls = [A, B];
  setAll(new Fault('UNAVAILABLE', 'none'));
  expect(await askedReplica()).to.equal('unavailable');
  setAll(grantAll);
  expect(await askedReplica()).to.equal('unavailable');
  await pause(400);
  expect(await askedReplica()).to.equal(A);
});

// Guards against a call in each 2 s that waits 300 ms for a lost replica while others have room.
it('quota client: a replica that failed comes last until it has answered again', async () => {
  behaviours.set(A, 'silent');
  await ask();
  await pause(2_000);
  const startedAt = performance.now();
  expect(await askedReplica()).to.equal(B);
  expect(performance.now() - startedAt).to.be.below(250);
  setAll(holding(0));
  behaviours.set(A, grantAll);
  expect(await askedReplica()).to.equal(A);
  setAll(grantAll);
  expect(granters(await ask())).to.equal(A);
}).timeout(5_000);

it('quota client: a call that waits for the query of a frozen replica goes to the next one with it', async () => {
  behaviours.set(A, 'silent');
  const startedAt = performance.now();
  const earlier = askedReplica();
  await pause(50);
  expect(await askedReplica()).to.equal(B);
  expect(await earlier).to.equal(B);
  expect(performance.now() - startedAt).to.be.below(600);
});

// Guards against a wait of 300 ms for each call that arrives before a lost replica is known as such.
it('quota client: a call does not wait behind a query that already takes long', async () => {
  behaviours.set(A, 'silent');
  const earlier = askedReplica();
  await pause(150);
  const startedAt = performance.now();
  expect(await askedReplica()).to.equal(B);
  expect(performance.now() - startedAt).to.be.below(100);
  expect(await earlier).to.equal(B);
});

it('quota client: a late answer is discarded, also if only the wall clock shows that it is late', async () => {
  urls = [A];
  delayMs = 400;
  expect(await askedReplica()).to.equal('unavailable');
  delayMs = 50;
  expect(await askedReplica()).to.equal('unavailable');
  urls = [B];
  delayMs = 0;
  behaviours.set(B, request => {
    wallOffsetMs = 10_000;
    return grantAll(request);
  });
  expect(await askedReplica()).to.equal('unavailable');
});

// Guards against 2 s without grants after an entry was stalled for longer than answers may take.
it('quota client: a late answer shows that the replica is alive, and its units are given back', async () => {
  urls = [A];
  delayMs = 350;
  expect(await askedReplica()).to.equal('unavailable');
  delayMs = 0;
  expect(await askedReplica()).to.equal('unavailable');
  await pause(120);
  expect(returnsIn(queries)).to.deep.equal([[A, 1]]);
  expect(await askedReplica()).to.equal(A);
});

// Guards against units that wait for the next message until they are too old to go back.
it('quota client: units of an answer that comes just before the query ends are given back', async () => {
  urls = [A];
  delayMs = 460;
  expect(await askedReplica()).to.equal('unavailable');
  delayMs = 0;
  await pause(300);
  expect(returnsIn(queries)).to.deep.equal([[A, 1]]);
});

it('quota client: a replica that does not know the tenant is passed over, and no shortage is assumed', async () => {
  behaviours.set(A, () => ({granted: 0}));
  expect(await askedReplica()).to.equal(B);
  setAll(() => ({granted: 0}));
  const unavailable = {kind: 'unavailable', waitMs: undefined};
  expect(await ask()).to.deep.equal(unavailable);
  setAll(grantAll);
  expect(await askedReplica()).to.equal(A);
});

// Guards against amounts that only seem to fit once some parts of them were collected.
it('quota client: an amount above the whole quota is refused with the long wait, and takes no parts', async () => {
  const capacity = 15;
  setAll(request =>
    request.amount > capacity
      ? {granted: 0, waitMs: 60_000, isTooLarge: true}
      : holding(5)(request),
  );
  behaviours.set(C, 'silent');
  const exceeded = {kind: 'exceeded', waitMs: 60_000};
  expect(await ask(16)).to.deep.equal(exceeded);
  expect(queries.every(({request}) => !request.grants[0].isDivisible)).to.equal(
    true,
  );
});

// Guards against units that are used later than 300 ms after their query.
it('quota client: parts that expire while others are collected are given back and collected again', async () => {
  setAll(holding(5));
  const parts = holding(5);
  let isSilent = false;
  behaviours.set(B, request => {
    isSilent = request.isDivisible;
    return parts(request);
  });
  behaviours.set(A, request => {
    if (request.isDivisible && !isSilent) {
      behaviours.set(B, 'silent');
    }
    return parts(request);
  });
  const grant = grantOf(await ask(10));
  expect(granters({kind: 'granted', grant})).to.equal(`${C},${A}`);
  const now = performance.now();
  for (const {requestedAt} of grant.parts) {
    expect(now - requestedAt.monotonicMs).to.be.below(300);
  }
  await pause(100);
  expect(returnsIn(queries)).to.deep.equal([[A, 5]]);
});

// Guards against refusals that tell their callers to come back at once.
it('quota client: a replica that grants all that is missing does not shorten the stated time until there is room', async () => {
  setAll(holding(0, 70));
  /** Has parts for one call, and answers it after some time. */
  const holdOnce = (url: string, lateMs: number) =>
    behaviours.set(url, request => {
      if (request.isDivisible) {
        wallOffsetMs += lateMs;
        behaviours.set(url, holding(0, 70));
      }
      return holding(5)(request);
    });
  holdOnce(A, 0);
  behaviours.set(B, request => {
    wallOffsetMs += request.isDivisible ? 200 : 0;
    return holding(0, 70)(request);
  });
  holdOnce(C, 150);
  expect(await ask(10)).to.deep.equal({kind: 'exceeded', waitMs: 70});
});

// Guards against calls that wait for each replica in turn, twice, while there is no quorum.
it('quota client: after waiting for a majority in vain a call is refused', async () => {
  setAll('silent');
  const startedAt = performance.now();
  expect(await askedReplica()).to.equal('unavailable');
  expect(performance.now() - startedAt).to.be.below(850);
  expect(queries.map(({replica}) => replica)).to.deep.equal([A, B]);
});

// Guards against a query of each call to each replica while one of them is lost.
it('quota client: with a replica lost, a shortage at the others is remembered', async () => {
  setAll(holding(0, 200));
  behaviours.set(B, new Fault('UNAVAILABLE', 'none'));
  expect(await askedReplica()).to.equal('unavailable');
  const sent = queries.length;
  expect(await askedReplica()).to.equal('unavailable');
  expect(queries).to.have.length(sent);
});

it('quota client: without a replica that grants, calls are refused as unavailable', async () => {
  setAll(new Fault('NO_QUORUM', 'none'));
  expect(await askedReplica()).to.equal('unavailable');
  expect(queries).to.have.length(2);
  urls = [];
  expect(await askedReplica()).to.equal('unavailable');
});

it('quota client: a call is not refused as over its quota while a replica is lost that may have room', async () => {
  setAll(holding(0));
  behaviours.set(B, new Fault('UNAVAILABLE', 'none'));
  expect(await ask()).to.deep.equal({kind: 'unavailable', waitMs: 70});
});

it('quota client: a replica without a quorum is asked again soon', async () => {
  urls = [A];
  behaviours.set(A, new Fault('NO_QUORUM', 'none'));
  expect(await askedReplica()).to.equal('unavailable');
  behaviours.set(A, grantAll);
  expect(await askedReplica()).to.equal('unavailable');
  await pause(300);
  expect(await askedReplica()).to.equal(A);
});

it('quota client: an answer that misses decisions counts as none', async () => {
  const exchange = {grants: []};
  behaviours.set(A, () => exchange as unknown as QuotaDecision);
  expect(await askedReplica()).to.equal(B);
});

it('quota client: a replica cannot grant more than it was asked for', async () => {
  behaviours.set(A, ({amount}) => ({granted: amount + 7, waitMs: 0}));
  expect(grantOf(await ask(3)).parts[0].amount).to.equal(3);
});

it('quota client: two entries with different lists are both granted by replicas that they know', async () => {
  const other = createClient();
  expect(await askedReplica()).to.equal(A);
  urls = [C, B];
  const outcome = await other.request({tenant: 't', amount: 1});
  expect(granters(outcome)).to.equal(C);
  expect(await askedReplica()).to.equal(C);
  other.stop();
});

it('quota client: unused units go back to their replica, in one message', async () => {
  const grants = await Promise.all([ask(5), ask(6), ask(7)]);
  const sent = queries.length;
  grants.map(grantOf).forEach(grant => client.giveBack(grant));
  await pause(100);
  expect(queries.slice(sent)).to.deep.equal([
    {
      replica: A,
      request: {grants: [], returns: [{tenant: 't', amount: 18}]},
    },
  ]);
});

it('quota client: units that were granted long ago are not given back', async () => {
  const grant = grantOf(await ask());
  await pause(550);
  client.giveBack(grant);
  await pause(100);
  expect(queries).to.have.length(1);
});
