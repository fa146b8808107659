import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Result} from 'true-myth';
import type {Deployment, DeploymentText, Quota} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {QuotaGranter, QuotaGrantMetrics} from '@marigoldspur/fleet';
import type {LogStatus} from '@marigoldspur/replicated-log';
import {quotaRole} from '@marigoldspur/tenant-quotas';

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
  async ask(amount: number) {
    const request = {grants: [{tenant: 't', amount}], returns: []};
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

function createReplica(role: string, now = 100_000): FakeReplica {
  const url = URLS.find(each => quotaRole('t', URLS, each) === role)!;
  const replica = new FakeReplica(url, now);
  replicas.push(replica);
  return replica;
}

const NO_QUORUM = Result.err<undefined, Fault>(new Fault('NO_QUORUM', 'none'));

it('quota granter: the primary grants by the figures of its deployment, which it reads once', async () => {
  const replica = createReplica('primary');
  replica.now += 10_000;
  const granted = {isGranted: true, waitMs: 0, role: 'primary'};
  expect(await replica.ask(2_000)).to.deep.equal(granted);
  const refused = {isGranted: false, waitMs: 500, role: 'primary'};
  expect(await replica.ask(500)).to.deep.equal(refused);
  expect(replica.readsOfText).to.equal(1);
  const metrics = await replica.registry.metrics();
  expect(metrics).to.include(
    'marigoldspur_quota_granted_units_total{role="primary",tenant="t"} 2000',
  );
  expect(metrics).to.include(
    'marigoldspur_quota_decisions_total{result="refused",role="primary",tenant="t"} 1',
  );
});

it('quota granter: a barrier is shared for a while, and the next one starts before it expires', async () => {
  const replica = createReplica('primary');
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

it('quota granter: without a quorum nothing is granted from one second after the last barrier started', async () => {
  const replica = createReplica('primary');
  await replica.ask(0);
  replica.now += 10_000;
  await replica.ask(1);
  replica.barrierOutcome = NO_QUORUM;
  replica.now += 999;
  expect(await replica.ask(1)).to.include({isGranted: true});
  replica.now += 1;
  expect(await replica.ask(1)).to.equal('NO_QUORUM');
  replica.barrierOutcome = Result.ok(undefined);
  expect(await replica.ask(1)).to.include({isGranted: true});
});

it('quota granter: a barrier that takes too long ends the wait before the entry gives up', async () => {
  const replica = createReplica('primary');
  replica.barrierOutcome = undefined;
  const startedAt = performance.now();
  expect(await replica.ask(1)).to.equal('NO_QUORUM');
  expect(performance.now() - startedAt).to.be.below(300);
  expect(replica.barriers).to.equal(1);
});

it('quota granter: a barrier counts from its start, also if it ends late', async () => {
  const replica = createReplica('primary');
  replica.barrierOutcome = undefined;
  const asked = replica.ask(1);
  await pause(10);
  replica.now += 1_000;
  replica.openBarriers[0].end(Result.ok(undefined));
  expect(await asked).to.equal('NO_QUORUM');
});

for (const [name, wallOffsetMs] of [
  ['suspended', 60_000],
  ['set back', -60_000],
] as const) {
  it(`quota granter: a barrier is void if the machine was ${name} since`, async () => {
    const replica = createReplica('primary');
    replica.now += 10_000;
    await replica.ask(1);
    replica.barrierOutcome = NO_QUORUM;
    replica.wallOffsetMs = wallOffsetMs;
    expect(await replica.ask(1)).to.equal('NO_QUORUM');
  });
}

it('quota granter: a lowered quota binds with the next request', async () => {
  const replica = createReplica('primary');
  replica.now += 10_000;
  await replica.ask(0);
  replica.deploy(2, {...QUOTA, perSecond: 10, burst: 100});
  expect(await replica.ask(101)).to.include({isGranted: false});
  expect(await replica.ask(100)).to.include({isGranted: true});
  expect(replica.readsOfText).to.equal(2);
});

it('quota granter: a tenant that was idle since the start finds a full bucket', async () => {
  const replica = createReplica('primary');
  replica.now += 60_000;
  expect(await replica.ask(2_000)).to.include({isGranted: true});
});

it('quota granter: a restarted primary starts empty', async () => {
  const replica = createReplica('primary');
  replica.now += 60_000;
  expect(await replica.ask(2_000)).to.include({isGranted: true});
  const restarted = createReplica('primary', replica.now);
  restarted.now += 10;
  expect(await restarted.ask(2_000)).to.include({isGranted: false});
});

it('quota granter: two replicas that think they are primary grant no more than one in the change', async () => {
  const earlier = createReplica('primary');
  earlier.now += 60_000;
  const later = createReplica('stand-in');
  later.now = earlier.now;
  await later.ask(0);
  expect(await earlier.ask(2_000)).to.include({isGranted: true});
  // The earlier primary leaves; it does not know yet, and its barriers fail.
  later.urls = URLS.filter(url => url !== earlier.url);
  earlier.barrierOutcome = NO_QUORUM;
  let granted = 2_000;
  for (let ms = 0; ms < 3_000; ms += 50) {
    for (const replica of [earlier, later]) {
      replica.now += 50;
      const decision = await replica.ask(50);
      granted += typeof decision === 'object' && decision.isGranted ? 50 : 0;
    }
  }
  expect(granted).to.be.within(4_000, 2_000 + 3_000);
});

it('quota granter: another replica has no say, and a tenant that left is dropped from the metrics', async () => {
  const none = {isGranted: false, waitMs: 0, role: 'none'};
  expect(await createReplica('none').ask(1)).to.deep.equal(none);
  const replica = createReplica('primary');
  replica.now += 10_000;
  await replica.ask(1);
  const text = JSON.stringify({tenants: []});
  replica.deployments.deployment = {revision: 2, text};
  expect(await replica.ask(1)).to.deep.equal(none);
  expect(await replica.registry.metrics()).not.to.include('tenant="t"');
});
