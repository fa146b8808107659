import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Result} from 'true-myth';
import type {Deployment, DeploymentText, Quota} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {QuotaGranter, QuotaGrantMetrics} from '@marigoldspur/fleet';
import type {LogStatus} from '@marigoldspur/replicated-log';

const QUOTA: Quota = {
  unit: 'tokens',
  perSecond: 1_000,
  burst: 2_000,
  defaultCost: 0,
};
const URLS = ['http://a', 'http://b', 'http://c'];

/** A barrier that has been started and not ended. */
interface StartedBarrier {
  readonly end: (outcome: Result<undefined, Fault>) => void;
}

function createDeployment(revision: number, quota: Quota): DeploymentText {
  const tenants = [{name: 't', keys: [], quota}];
  return {revision, text: JSON.stringify({tenants})};
}

/** One replica of control with a log and clocks that the test sets. */
class FakeReplica {
  wallOffsetMs = 0;
  urls: readonly string[] = URLS;
  readonly deployments: {deployment: DeploymentText | undefined} = {
    deployment: createDeployment(1, QUOTA),
  };
  readsOfText = 0;
  barriers = 0;
  /** How barriers end; undefined if they never do. */
  barrierOutcome: Result<undefined, Fault> | undefined = Result.ok(undefined);
  readonly openBarriers: StartedBarrier[] = [];
  readonly registry = new Registry();
  readonly granter: QuotaGranter;

  constructor(
    readonly url: string,
    /** Time of both clocks, in milliseconds. */
    public now: number,
  ) {
    const isOwn = (each: string) => each === url;
    this.granter = new QuotaGranter({
      deployments: this.deployments,
      readDeployment: text => {
        this.readsOfText += 1;
        return Result.ok(JSON.parse(text) as Deployment);
      },
      tolerance: {windowMs: 8_000, ratio: 0.1, slack: 0},
      log: {
        readBarrier: () => this.startBarrier(),
        status: () =>
          ({
            replica: 'own',
            replicas: this.urls.map(each => ({
              id: isOwn(each) ? 'own' : each,
              url: each,
            })),
          }) as unknown as LogStatus,
      },
      clock: () => ({
        monotonicMs: this.now,
        wallMs: this.now + this.wallOffsetMs,
      }),
      events: new EventLog({process: 'test'}),
      metrics: new QuotaGrantMetrics(this.registry),
    });
  }

  deploy(revision: number, quota: Quota): void {
    this.deployments.deployment = createDeployment(revision, quota);
    this.granter.handleDeploymentChange();
  }

  /** Resolves to the decision, or to the code of the fault. */
  async ask(amount: number, isDivisible = false) {
    const request = {
      grants: [{tenant: 't', amount, isDivisible}],
      returns: [],
    };
    try {
      const {grants} = await this.granter.grant(request);
      return grants[0];
    } catch (thrown) {
      return (thrown as Fault).code;
    }
  }

  private startBarrier(): Promise<Result<undefined, Fault>> {
    this.barriers += 1;
    return new Promise(end =>
      this.barrierOutcome === undefined
        ? this.openBarriers.push({end})
        : end(this.barrierOutcome),
    );
  }
}

let replicas: FakeReplica[] = [];

afterEach(() => {
  replicas.forEach(({granter}) => granter.stop());
  replicas = [];
});

function createReplica(url = URLS[0], now = 100_000): FakeReplica {
  const replica = new FakeReplica(url, now);
  replicas.push(replica);
  return replica;
}

const NO_QUORUM = Result.err<undefined, Fault>(new Fault('NO_QUORUM', 'none'));

/** Whole units that one of three replicas holds: its share of the burst and half the tolerance. */
const CAPACITY = Math.floor((2_000 + (0.1 * 10_000 - 300) / 2) / URLS.length);

/** Units of a decision; 0 if there was none. */
function unitsOf(decision: Awaited<ReturnType<FakeReplica['ask']>>): number {
  return typeof decision === 'object' ? decision.granted : 0;
}

it('quota granter: a replica grants its share by the figures of its deployment, which it reads once', async () => {
  const replica = createReplica();
  replica.now += 10_000;
  expect(await replica.ask(600)).to.deep.equal({granted: 600, waitMs: 0});
  const refused = {granted: 0, waitMs: 500};
  expect(await replica.ask(500)).to.deep.equal(refused);
  const left = CAPACITY - 600;
  const partial = {granted: left, waitMs: 500 - left};
  expect(await replica.ask(500, true)).to.deep.equal(partial);
  expect(replica.readsOfText).to.equal(1);
  const metrics = await replica.registry.metrics();
  for (const line of [
    `marigoldspur_quota_granted_units_total{tenant="t"} ${600 + left}`,
    'marigoldspur_quota_decisions_total{result="granted",tenant="t"} 1',
    'marigoldspur_quota_decisions_total{result="partial",tenant="t"} 1',
    'marigoldspur_quota_decisions_total{result="refused",tenant="t"} 1',
  ]) {
    expect(metrics).to.include(line);
  }
});

it('quota granter: a barrier is shared for a while, and the next one starts before it expires', async () => {
  const replica = createReplica();
  await Promise.all([replica.ask(1), replica.ask(1), replica.ask(1)]);
  expect(replica.barriers).to.equal(1);
  replica.now += 300;
  await replica.ask(1);
  expect(replica.barriers).to.equal(1);
  replica.barrierOutcome = undefined;
  replica.now += 300;
  await Promise.all([replica.ask(1), replica.ask(1)]);
  expect(replica.barriers).to.equal(2);
});

it('quota granter: without a quorum nothing is granted from two seconds after the last barrier started', async () => {
  const replica = createReplica();
  await replica.ask(0);
  replica.now += 10_000;
  await replica.ask(1);
  replica.barrierOutcome = NO_QUORUM;
  replica.now += 1_999;
  expect(await replica.ask(1)).to.include({granted: 1});
  replica.now += 1;
  expect(await replica.ask(1)).to.equal('NO_QUORUM');
  replica.barrierOutcome = Result.ok(undefined);
  expect(await replica.ask(1)).to.include({granted: 1});
});

it('quota granter: a barrier that takes too long ends the wait before the entry gives up', async () => {
  const replica = createReplica();
  replica.barrierOutcome = undefined;
  const startedAt = performance.now();
  expect(await replica.ask(1)).to.equal('NO_QUORUM');
  expect(performance.now() - startedAt).to.be.below(300);
  expect(replica.barriers).to.equal(1);
});

it('quota granter: a barrier counts from its start, also if it ends late', async () => {
  const replica = createReplica();
  replica.barrierOutcome = undefined;
  const asked = replica.ask(1);
  await pause(10);
  replica.now += 2_000;
  replica.openBarriers[0].end(Result.ok(undefined));
  expect(await asked).to.equal('NO_QUORUM');
});

for (const [name, wallOffsetMs] of [
  ['suspended', 60_000],
  ['set back', -60_000],
] as const) {
  it(`quota granter: a barrier is void if the machine was ${name} since`, async () => {
    const replica = createReplica();
    replica.now += 10_000;
    await replica.ask(1);
    replica.barrierOutcome = NO_QUORUM;
    replica.wallOffsetMs = wallOffsetMs;
    expect(await replica.ask(1)).to.equal('NO_QUORUM');
  });
}

it('quota granter: a lowered quota binds with the next request', async () => {
  const replica = createReplica();
  replica.now += 10_000;
  await replica.ask(0);
  replica.deploy(2, {...QUOTA, perSecond: 10, burst: 100});
  const capacity = Math.floor((100 + (0.1 * 180 - 3) / 2) / URLS.length);
  expect(await replica.ask(capacity + 1)).to.include({granted: 0});
  expect(await replica.ask(capacity)).to.include({granted: capacity});
  expect(replica.readsOfText).to.equal(2);
});

it('quota granter: a tenant that was idle since the start finds a full bucket', async () => {
  const replica = createReplica();
  replica.now += 60_000;
  expect(await replica.ask(CAPACITY)).to.include({granted: CAPACITY});
  expect(await replica.ask(1)).to.include({granted: 0});
});

it('quota granter: a restarted replica starts empty', async () => {
  const replica = createReplica();
  replica.now += 60_000;
  expect(await replica.ask(700)).to.include({granted: 700});
  const restarted = createReplica(URLS[0], replica.now);
  restarted.now += 10;
  expect(unitsOf(await restarted.ask(700, true))).to.be.at.most(3);
});

// Guards against shares that sum to more than the quota while replicas know different lists.
it('quota granter: a replica that left and those that remain grant no more than the quota in the change', async () => {
  const [left, ...remaining] = URLS.map(url => createReplica(url));
  const all = [left, ...remaining];
  for (const replica of all) {
    replica.now += 60_000;
    expect(await replica.ask(CAPACITY)).to.include({granted: CAPACITY});
  }
  // The one that left does not know yet, and its barriers fail.
  remaining.forEach(replica => (replica.urls = URLS.slice(1)));
  left.barrierOutcome = NO_QUORUM;
  let granted = 0;
  for (let ms = 50; ms <= 6_000; ms += 50) {
    for (const replica of all) {
      replica.now += 50;
      granted += unitsOf(await replica.ask(1_000, true));
    }
    // Each replica kept less than one unit of its full bucket.
    const added = (QUOTA.perSecond * ms) / 1_000;
    expect(granted).to.be.below(added + URLS.length);
  }
  expect(granted).to.be.above(5_000);
});

it('quota granter: a replica outside the list grants nothing, also after it joined, until others know', async () => {
  const replica = createReplica('http://d');
  replica.now += 60_000;
  expect(await replica.ask(1)).to.include({granted: 0});
  replica.urls = [...URLS, 'http://d'];
  expect(await replica.ask(1, true)).to.include({granted: 0});
  replica.now += 2_400;
  expect(await replica.ask(1, true)).to.include({granted: 0});
  replica.now += 200;
  expect(await replica.ask(1, true)).to.include({granted: 1});
});

it('quota granter: a tenant that left has no wait, and is dropped from the metrics', async () => {
  const replica = createReplica();
  replica.now += 10_000;
  await replica.ask(1);
  const text = JSON.stringify({tenants: []});
  replica.deployments.deployment = {revision: 2, text};
  expect(await replica.ask(1)).to.deep.equal({granted: 0});
  expect(await replica.registry.metrics()).not.to.include('tenant="t"');
});
