import {setImmediate as turn} from 'node:timers/promises';
import {mock} from 'node:test';
import {expect} from 'chai';
import {DeploymentConfirmer} from '@marigoldspur/caller-tenants';
import {EventLog} from '@marigoldspur/event-log';
import {KeyFreshness} from '@marigoldspur/tenant-access';

const REVOKE_MS = 8_000;
const INTERVAL_MS = REVOKE_MS / 8;
const REPLICAS = ['http://r0', 'http://r1', 'http://r2'];
const NEVER = new Promise<never>(() => {});

let now: number;
let appliedRevision: number | undefined;
/** Replicas that were asked, in order. */
let asked: string[];
let answer: (replica: string) => Promise<{revision: number | null}>;
let freshness: KeyFreshness;
let events: EventLog;
let confirmer: DeploymentConfirmer;

beforeEach(() => {
  mock.timers.enable({apis: ['setInterval']});
  now = 0;
  appliedRevision = 1;
  asked = [];
  answer = async () => ({revision: 1});
  freshness = new KeyFreshness(REVOKE_MS);
  events = new EventLog({process: 'test'});
  confirmer = new DeploymentConfirmer({
    revokeMs: REVOKE_MS,
    appliedRevision: () => appliedRevision,
    replicas: () => REPLICAS,
    ask: replica => {
      asked.push(replica);
      return answer(replica);
    },
    freshness,
    clock: () => ({monotonicMs: now, wallMs: now}),
    random: () => 0,
    events,
  });
});

afterEach(() => {
  confirmer.stop();
  mock.timers.reset();
});

/** Lets one interval pass; returns the replicas that were asked in it. */
async function passInterval(): Promise<string[]> {
  asked = [];
  now += INTERVAL_MS;
  mock.timers.tick(INTERVAL_MS);
  await turn();
  return asked;
}

function eventNames(): string[] {
  return events.eventsAfter(0, 100).map(({name}) => name);
}

it('deployment confirmer: a new entry asks all replicas, a confirmed one the same replica in each interval', async () => {
  confirmer.askEarly();
  await turn();
  expect(asked).to.deep.equal(REPLICAS);
  for (let interval = 0; interval < 10; interval += 1) {
    expect(await passInterval()).to.deep.equal([REPLICAS[0]]);
  }
  const ageMs = freshness.ageMs(1, {monotonicMs: now, wallMs: now});
  expect(ageMs).to.equal(0);
});

it('deployment confirmer: after a failure, or without an answer, another replica is asked', async () => {
  await passInterval();
  answer = async () => {
    throw new Error('no quorum');
  };
  expect(await passInterval()).to.deep.equal([REPLICAS[0]]);
  answer = () => NEVER;
  expect(await passInterval()).to.deep.equal([REPLICAS[1]]);
  answer = async () => ({revision: 1});
  expect(await passInterval()).to.deep.equal([REPLICAS[2]]);
  expect(await passInterval()).to.deep.equal([REPLICAS[2]]);
});

it('deployment confirmer: all replicas are asked once the last confirmation is older than half of the time', async () => {
  await passInterval();
  answer = async () => {
    throw new Error('no quorum');
  };
  const counts = [];
  for (let interval = 0; interval < 6; interval += 1) {
    counts.push((await passInterval()).length);
  }
  expect(counts).to.deep.equal([1, 1, 1, 1, 3, 3]);
});

it('deployment confirmer: a replica that does not answer has one open query, however long that takes', async () => {
  answer = () => NEVER;
  const first = await passInterval();
  expect(first).to.have.length(REPLICAS.length);
  for (let interval = 0; interval < 20; interval += 1) {
    expect(await passInterval()).to.have.length(0);
  }
});

it('deployment confirmer: refused calls cause at most one further round of queries in each interval', async () => {
  answer = async () => {
    throw new Error('no quorum');
  };
  await passInterval();
  asked = [];
  for (let call = 0; call < 1_000; call += 1) {
    confirmer.askEarly();
    await turn();
  }
  expect(asked).to.have.length(REPLICAS.length);
});

it('deployment confirmer: without tenants nothing is asked', async () => {
  appliedRevision = undefined;
  confirmer.askEarly();
  expect(await passInterval()).to.have.length(0);
  appliedRevision = 1;
  confirmer.askEarly();
  await turn();
  expect(asked).to.have.length(REPLICAS.length);
});

it('deployment confirmer: a replica without a deployment confirms nothing', async () => {
  answer = async () => ({revision: null});
  await passInterval();
  const isFresh = freshness.isFresh(1, {monotonicMs: now, wallMs: now});
  expect(isFresh).to.equal(false);
});

it('deployment confirmer: events tell when the configuration becomes confirmed and when it no longer is', async () => {
  await passInterval();
  answer = async () => {
    throw new Error('no quorum');
  };
  for (let interval = 0; interval < 10; interval += 1) {
    await passInterval();
  }
  answer = async () => ({revision: 1});
  await passInterval();
  const states = eventNames().filter(
    name => name !== 'deployment-confirmation-failed',
  );
  expect(states).to.deep.equal([
    'deployment-confirmed',
    'deployment-unconfirmed',
    'deployment-confirmed',
  ]);
  const failures = eventNames().length - states.length;
  expect(failures).to.equal(REPLICAS.length);
});
