import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {Result} from 'true-myth';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {PermitManager} from '@marigoldspur/load-permits';
import type {Member} from '@marigoldspur/messages';
import type {LogStatus, ReplicatedLog} from '@marigoldspur/replicated-log';
import {
  ControlRequestHandler,
  ControlStateMachine,
  type Command,
  type CommandAnswer,
} from '@marigoldspur/control-server';
import {createTargetReport} from '@marigoldspur/report-fixtures';

const LEASE_MS = 1_000;
/** Permits granted within the last second are not released by a report that does not list them. */
const LONGER_THAN_REPORT_DELAY_MS = 1_100;

function agent(boot: string): Member {
  return {
    ...entry(boot),
    id: 'agent',
    role: 'agent',
    target: createTargetReport(),
  };
}

/** Requests a permit of the store and waits up to five seconds for it. */
function requestPermit(
  handler: ControlRequestHandler,
  holder: string,
  model = 'a@v1',
) {
  return handler.acquirePermit({
    store: 'store',
    agent: holder,
    model,
    loading: [model],
    waiters: 1,
    priority: 5,
    oldestWaitMs: 0,
    usefulMs: 60_000,
    waitMs: 5_000,
  });
}

/** A log that commits at once and whose quorum and term the test sets. */
class FakeLog implements ReplicatedLog<Command, CommandAnswer> {
  setSeedUrls() {}

  term = 1;
  hasQuorum = true;
  readonly machine = new ControlStateMachine();

  async propose(command: Command): Promise<Result<CommandAnswer, Fault>> {
    return Result.ok(this.machine.apply(command));
  }

  readBarrier(): Promise<Result<undefined, Fault>> {
    return this.hasQuorum
      ? Promise.resolve(Result.ok(undefined))
      : new Promise(() => {});
  }

  isReady(): boolean {
    return true;
  }

  status(): LogStatus {
    return {
      role: 'leader',
      term: this.term,
      commitIndex: 0,
      lastIndex: 0,
      voters: [],
      replica: 'r',
      group: 'g',
      appliedIndex: 0,
      replicas: [],
      diskFull: false,
      diskFailed: false,
    };
  }

  async stop(): Promise<void> {}
}

function createHandler(
  log: FakeLog,
  validMs = LEASE_MS,
): ControlRequestHandler {
  return new ControlRequestHandler({
    id: 'control-0',
    boot: 'boot',
    leaseMs: LEASE_MS,
    machine: log.machine,
    log,
    permits: new PermitManager({
      loadsAtOnce: 1,
      validMs,
      policyOf: () => DEFAULT_SETTINGS,
    }),
    events: new EventLog({process: 'control-0'}),
  });
}

function entry(boot: string): Member {
  return {
    id: 'entry-0',
    role: 'entry',
    zone: 'lima-a',
    boot,
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
  };
}

function claim(request: string) {
  return {
    customer: 'callao',
    key: 'k',
    digest: 'd',
    request,
    entry: 'entry-0',
    boot: 'b1',
    retentionMs: 60_000,
  };
}

it('control request handler: a replica without a quorum ends its streams', async () => {
  const log = new FakeLog();
  const {signal} = new AbortController();
  const stream = createHandler(log)
    .followSettings(0, signal)
    [Symbol.asyncIterator]();
  const first = await stream.next();
  expect(first.value).to.include({revision: 0, confirmed: true});
  log.hasQuorum = false;
  const fault = await (async () => {
    try {
      for (;;) {
        await stream.next();
      }
    } catch (thrown) {
      return thrown;
    }
  })();
  expect(fault).to.include({code: 'NO_QUORUM'});
});

it('control request handler: an entry absent for a full lease loses its claims, a registered one keeps them', async () => {
  const log = new FakeLog();
  const handler = createHandler(log);
  await handler.takeClaim(claim('r1'));
  // Whole milliseconds make time differences exact.
  const now = Math.ceil(performance.now());
  await handler.heartbeat(entry('b1'));
  handler.checkLeases(now + LEASE_MS / 2);
  handler.checkLeases(now + LEASE_MS);
  expect((await handler.takeClaim(claim('r2'))).outcome).to.equal('running');
  await handler.heartbeat(entry('b2'));
  handler.checkLeases(now + LEASE_MS);
  handler.checkLeases(now + 2 * LEASE_MS);
  expect((await handler.takeClaim(claim('r2'))).outcome).to.equal('unknown');
});

it('control request handler: a new term starts an incomplete table and ends the claims of entries that never register', async () => {
  const log = new FakeLog();
  const handler = createHandler(log);
  await handler.takeClaim(claim('r1'));
  await handler.heartbeat(entry('b1'));
  log.term = 2;
  const delta = await handler.watchMembers('', 0, 0);
  expect(delta).to.include({complete: false, whole: true});
  const now = Math.ceil(performance.now());
  handler.checkLeases(now);
  handler.checkLeases(now + LEASE_MS);
  expect((await handler.watchMembers('', 0, 0)).complete).to.equal(true);
  expect((await handler.takeClaim(claim('r2'))).outcome).to.equal('unknown');
});

it('control request handler: a relay starts a new session each term and receives the relays of its zone', async () => {
  const log = new FakeLog();
  const handler = createHandler(log);
  await handler.heartbeat(entry('b1'));
  const batch = {
    relay: 'entry-0',
    boot: 'b1',
    zone: 'lima-a',
    heardMs: 0,
    announced: [entry('b1')],
    silent: [],
  };
  const {stamp} = await handler.heartbeats(batch);
  const taken = await handler.heartbeats({...batch, stamp});
  expect(taken.taken).to.equal(true);
  expect(taken.receipt.relays).to.deep.equal([entry('b1').url]);
  log.term = 2;
  const newSession = await handler.heartbeats({...batch, stamp: taken.stamp});
  expect(newSession.taken).to.equal(false);
  expect(newSession.receipt.relays).to.equal(undefined);
  await handler.heartbeats({...batch, stamp: newSession.stamp});
  expect((await handler.watchMembers('', 0, 0)).changed).to.have.length(1);
});

it('control request handler: a relay receives the relay list of its zone only after a change', async () => {
  const handler = createHandler(new FakeLog());
  const batch = {
    relay: 'entry-0',
    boot: 'b1',
    zone: 'lima-a',
    heardMs: 0,
    announced: [entry('b1')],
    silent: [],
  };
  let {stamp} = await handler.heartbeats(batch);
  const sendBatch = async (change: Partial<typeof batch> = {}) => {
    const answer = await handler.heartbeats({...batch, stamp, ...change});
    stamp = answer.stamp;
    return answer.receipt.relays;
  };
  expect(await sendBatch()).to.have.length(1);
  expect(await sendBatch()).to.equal(undefined);
  const second = {...entry('b'), id: 'entry-1'};
  expect(await sendBatch({announced: [second]})).to.have.length(2);
  expect(await sendBatch()).to.equal(undefined);
  // A relay that lost an answer has no valid stamp and starts a new session.
  stamp = {table: '', at: 0};
  expect(await sendBatch()).to.have.length(2);
  expect(await sendBatch()).to.have.length(2);
});

it('control request handler: an agent with a number older than the granted one gets FENCED', async () => {
  const handler = createHandler(new FakeLog());
  const agent = (id: string, fence: number): Member => ({
    ...entry('b'),
    id,
    role: 'agent',
    target: createTargetReport({fence}),
  });
  const {fence: first} = await handler.grantFence('lm-desk-0', 'b1');
  await handler.heartbeat(agent('a', first));
  const {fence: second} = await handler.grantFence('lm-desk-0', 'b2');
  expect(second).to.be.greaterThan(first);
  const fault = await handler
    .heartbeat(agent('a', first))
    .catch(thrown => thrown);
  expect(fault).to.include({code: 'FENCED'});
  await handler.heartbeat(agent('b', second));
});

it('control request handler: a grant reports whether an earlier agent may still hold its lease', async () => {
  const log = new FakeLog();
  const handler = createHandler(log);
  const first = await handler.grantFence('lm-desk-0', 'b1');
  expect(first.first).to.equal(true);
  const agent = {
    ...entry('b1'),
    id: 'a',
    role: 'agent' as const,
    target: createTargetReport({fence: first.fence}),
  };
  const heartbeatAt = performance.now();
  await handler.heartbeat(agent);
  const second = await handler.grantFence('lm-desk-0', 'b2');
  expect(second.first).to.equal(false);
  expect(second.silentMs).to.be.at.most(performance.now() - heartbeatAt);
  const [one, other] = await Promise.all([
    handler.grantFence('lm-desk-0', 'b3'),
    handler.grantFence('lm-desk-0', 'b4'),
  ]);
  expect([one.silentMs, other.silentMs]).to.include(0);
});

it('control request handler: the permit of an agent whose lease expires is released at once', async () => {
  const handler = createHandler(new FakeLog(), 60_000);
  await handler.heartbeat(agent('b1'));
  expect((await requestPermit(handler, 'agent')).permit).to.be.a('string');
  const next = requestPermit(handler, 'other');
  handler.checkLeases(performance.now() + 2 * LEASE_MS);
  expect((await next).permit).to.be.a('string');
});

it('control request handler: the permit of a restarted agent is released at once', async () => {
  const handler = createHandler(new FakeLog(), 60_000);
  await handler.heartbeat(agent('b1'));
  expect((await requestPermit(handler, 'agent')).permit).to.be.a('string');
  const next = requestPermit(handler, 'other');
  await pause(LONGER_THAN_REPORT_DELAY_MS);
  await handler.heartbeat(agent('b1'));
  await handler.heartbeat(agent('b2'));
  expect((await next).permit).to.be.a('string');
});

it('control request handler: a permit that its agent no longer reports is released', async () => {
  const handler = createHandler(new FakeLog(), 60_000);
  expect((await requestPermit(handler, 'agent', 'a@v1')).permit).to.be.a(
    'string',
  );
  await pause(LONGER_THAN_REPORT_DELAY_MS);
  const next = await requestPermit(handler, 'agent', 'b@v1');
  expect(next.permit).to.be.a('string');
});
