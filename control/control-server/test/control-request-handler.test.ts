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
import {targetReport} from '@marigoldspur/test-members';

const LEASE_MS = 1_000;
/** A report may be older than a permit that it does not name, by a second at most. */
const LONGER_THAN_REPORT_MS = 1_100;

function agent(boot: string): Member {
  return {...entry(boot), id: 'agent', role: 'agent', target: targetReport()};
}

/** Asks for a permit of the store, without waiting long for it. */
function askPermit(
  desk: ControlRequestHandler,
  holder: string,
  model = 'a@v1',
) {
  return desk.acquirePermit({
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

/** A log that commits at once, and whose quorum and office the test sets. */
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
    };
  }

  async stop(): Promise<void> {}
}

function deskOn(log: FakeLog, validMs = LEASE_MS): ControlRequestHandler {
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

it('control desk: a replica without a quorum ends its streams', async () => {
  const log = new FakeLog();
  const {signal} = new AbortController();
  const stream = deskOn(log).followSettings(0, signal)[Symbol.asyncIterator]();
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

it('control desk: an entry that stays away loses its claims, one that stays does not', async () => {
  const log = new FakeLog();
  const desk = deskOn(log);
  await desk.takeClaim(claim('r1'));
  // A whole number of milliseconds, so that differences of times are exact.
  const now = Math.ceil(performance.now());
  await desk.heartbeat(entry('b1'));
  desk.checkLeases(now + LEASE_MS / 2);
  desk.checkLeases(now + LEASE_MS);
  expect((await desk.takeClaim(claim('r2'))).outcome).to.equal('running');
  await desk.heartbeat(entry('b2'));
  desk.checkLeases(now + LEASE_MS);
  desk.checkLeases(now + 2 * LEASE_MS);
  expect((await desk.takeClaim(claim('r2'))).outcome).to.equal('unknown');
});

it('control desk: a new term starts an incomplete table and loses entries that never come', async () => {
  const log = new FakeLog();
  const desk = deskOn(log);
  await desk.takeClaim(claim('r1'));
  await desk.heartbeat(entry('b1'));
  log.term = 2;
  const delta = await desk.watchMembers('', 0, 0);
  expect(delta).to.include({complete: false, whole: true});
  const now = Math.ceil(performance.now());
  desk.checkLeases(now);
  desk.checkLeases(now + LEASE_MS);
  expect((await desk.watchMembers('', 0, 0)).complete).to.equal(true);
  expect((await desk.takeClaim(claim('r2'))).outcome).to.equal('unknown');
});

it('control desk: a relay starts anew with each term, and learns who gathers in its zone', async () => {
  const log = new FakeLog();
  const desk = deskOn(log);
  await desk.heartbeat(entry('b1'));
  const batch = {
    relay: 'entry-0',
    boot: 'b1',
    zone: 'lima-a',
    heardMs: 0,
    announced: [entry('b1')],
    silent: [],
  };
  const {stamp} = await desk.heartbeats(batch);
  const taken = await desk.heartbeats({...batch, stamp});
  expect(taken.taken).to.equal(true);
  expect(taken.receipt.relays).to.deep.equal([entry('b1').url]);
  log.term = 2;
  const anew = await desk.heartbeats({...batch, stamp: taken.stamp});
  expect(anew.taken).to.equal(false);
  expect(anew.receipt.relays).to.equal(undefined);
  await desk.heartbeats({...batch, stamp: anew.stamp});
  expect((await desk.watchMembers('', 0, 0)).changed).to.have.length(1);
});

it('control desk: a relay is told who gathers in its zone only where that changed', async () => {
  const desk = deskOn(new FakeLog());
  const batch = {
    relay: 'entry-0',
    boot: 'b1',
    zone: 'lima-a',
    heardMs: 0,
    announced: [entry('b1')],
    silent: [],
  };
  let {stamp} = await desk.heartbeats(batch);
  const relaysTold = async (change: Partial<typeof batch> = {}) => {
    const answer = await desk.heartbeats({...batch, stamp, ...change});
    stamp = answer.stamp;
    return answer.receipt.relays;
  };
  expect(await relaysTold()).to.have.length(1);
  expect(await relaysTold()).to.equal(undefined);
  const second = {...entry('b'), id: 'entry-1'};
  expect(await relaysTold({announced: [second]})).to.have.length(2);
  expect(await relaysTold()).to.equal(undefined);
  // A relay that lost an answer has no stamp, and begins anew.
  stamp = {table: '', at: 0};
  expect(await relaysTold()).to.have.length(2);
  expect(await relaysTold()).to.have.length(2);
});

it('control desk: an agent older than the granted number is told FENCED', async () => {
  const desk = deskOn(new FakeLog());
  const agent = (id: string, fence: number): Member => ({
    ...entry('b'),
    id,
    role: 'agent',
    target: targetReport({fence}),
  });
  const {fence: first} = await desk.grantFence('lm-desk-0', 'b1');
  await desk.heartbeat(agent('a', first));
  const {fence: second} = await desk.grantFence('lm-desk-0', 'b2');
  expect(second).to.be.greaterThan(first);
  const fault = await desk.heartbeat(agent('a', first)).catch(thrown => thrown);
  expect(fault).to.include({code: 'FENCED'});
  await desk.heartbeat(agent('b', second));
});

it('control desk: a grant tells whether an earlier agent may still hold its lease', async () => {
  const log = new FakeLog();
  const desk = deskOn(log);
  const first = await desk.grantFence('lm-desk-0', 'b1');
  expect(first.first).to.equal(true);
  const agent = {
    ...entry('b1'),
    id: 'a',
    role: 'agent' as const,
    target: targetReport({fence: first.fence}),
  };
  const beatAt = performance.now();
  await desk.heartbeat(agent);
  const second = await desk.grantFence('lm-desk-0', 'b2');
  expect(second.first).to.equal(false);
  expect(second.silentMs).to.be.at.most(performance.now() - beatAt);
  const [one, other] = await Promise.all([
    desk.grantFence('lm-desk-0', 'b3'),
    desk.grantFence('lm-desk-0', 'b4'),
  ]);
  expect([one.silentMs, other.silentMs]).to.include(0);
});

it('control desk: the permit of an agent whose lease ends is free at once', async () => {
  const desk = deskOn(new FakeLog(), 60_000);
  await desk.heartbeat(agent('b1'));
  expect((await askPermit(desk, 'agent')).permit).to.be.a('string');
  const next = askPermit(desk, 'other');
  desk.checkLeases(performance.now() + 2 * LEASE_MS);
  expect((await next).permit).to.be.a('string');
});

it('control desk: the permit of an agent that began anew is free at once', async () => {
  const desk = deskOn(new FakeLog(), 60_000);
  await desk.heartbeat(agent('b1'));
  expect((await askPermit(desk, 'agent')).permit).to.be.a('string');
  const next = askPermit(desk, 'other');
  await pause(LONGER_THAN_REPORT_MS);
  await desk.heartbeat(agent('b1'));
  await desk.heartbeat(agent('b2'));
  expect((await next).permit).to.be.a('string');
});

it('control desk: a permit that its agent does not name any more is free', async () => {
  const desk = deskOn(new FakeLog(), 60_000);
  expect((await askPermit(desk, 'agent', 'a@v1')).permit).to.be.a('string');
  await pause(LONGER_THAN_REPORT_MS);
  const next = await askPermit(desk, 'agent', 'b@v1');
  expect(next.permit).to.be.a('string');
});
