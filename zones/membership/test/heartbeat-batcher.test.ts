import {expect} from 'chai';
import fc from 'fast-check';
import type {
  BatchAnswer,
  HeartbeatBatch,
  Member,
  RelayedAnswer,
  RelayedHeartbeat,
} from '@marigoldspur/messages';
import {
  HeartbeatBatcher,
  LoadReportStore,
  MemberTable,
  RelaySessions,
} from '@marigoldspur/membership';
import {
  createLoadReport,
  createTargetReport,
} from '@marigoldspur/report-fixtures';

const RUNS = {seed: 11, numRuns: 500};
const LEASE_MS = 3_000;
const RECEIPT = {leaseMs: LEASE_MS, revision: 1};
const RELAY = {id: 'entry-0', boot: 'boot', zone: 'lima-a'};

const TARGET = createTargetReport();

function member(id: string): Member {
  return {
    id,
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
  };
}

function fullHeartbeat(id: string, mark = 1) {
  return {id, boot: 'boot', mark, member: {...member(id), mark}};
}

function unchangedHeartbeat(id: string, mark = 1) {
  return {id, boot: 'boot', mark};
}

function answer(change: Partial<BatchAnswer> = {}): BatchAnswer {
  return {
    taken: true,
    stamp: {table: 't', at: 0},
    receipt: RECEIPT,
    fenced: [],
    missing: [],
    ...change,
  };
}

/** Creates a batcher and collects its answers in order of arrival. */
function createBatcher() {
  const store = new LoadReportStore();
  const batcher = new HeartbeatBatcher(RELAY, store);
  const answers: RelayedAnswer[] = [];
  const receive = (heartbeat: RelayedHeartbeat, now: number) =>
    batcher.receive(heartbeat, now).then(each => answers.push(each));
  const exchange = async (now: number, change?: Partial<BatchAnswer>) => {
    const batch = batcher.createBatch(now);
    batcher.handleAnswer(batch, answer(change), now, now);
    await Promise.resolve();
    return batch;
  };
  return {store, batcher, answers, receive, exchange};
}

it('heartbeat batcher: a heartbeat is answered once the leader has accepted it', async () => {
  const {answers, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  await exchange(1, {taken: false});
  expect(answers).to.deep.equal([]);
  const batch = await exchange(2);
  expect(batch.announced.map(each => each.id)).to.deep.equal(['a']);
  expect(answers).to.deep.equal([{outcome: 'taken', receipt: RECEIPT}]);
});

it('heartbeat batcher: members receive the relays that control last listed', async () => {
  const {batcher, answers, receive, exchange} = createBatcher();
  const relays = ['http://127.0.0.1:1'];
  void receive(fullHeartbeat('a'), 0);
  await exchange(1, {taken: false, receipt: {...RECEIPT, relays}});
  await exchange(2);
  void batcher
    .receive(unchangedHeartbeat('a'), 3)
    .then(each => answers.push(each));
  await exchange(4);
  const receipt = {...RECEIPT, relays};
  const answer = {outcome: 'taken', receipt};
  expect(answers).to.deep.equal([answer, answer]);
});

it('heartbeat batcher: unchanged members are renewed without being announced again', async () => {
  const {batcher, answers, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  await exchange(1);
  void batcher
    .receive(unchangedHeartbeat('a'), 1_000)
    .then(each => answers.push(each));
  const batch = await exchange(1_100);
  expect(batch).to.deep.include({announced: [], silent: [], heardMs: 999});
  expect(answers).to.have.length(2);
});

it('heartbeat batcher: a heartbeat of an unknown announcement is answered with unknown', async () => {
  const {batcher, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  await exchange(1);
  const unknown = {outcome: 'unknown'};
  expect(await batcher.receive(unchangedHeartbeat('b'), 2)).to.deep.equal(
    unknown,
  );
  expect(await batcher.receive(unchangedHeartbeat('a', 2), 2)).to.deep.equal(
    unknown,
  );
  const other = {...unchangedHeartbeat('a'), boot: 'second'};
  expect(await batcher.receive(other, 2)).to.deep.equal(unknown);
});

it('heartbeat batcher: a silent member is reported once and no longer renewed', async () => {
  const {batcher, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  void receive(fullHeartbeat('b'), 0);
  await exchange(1);
  void batcher.receive(unchangedHeartbeat('b'), 1_400);
  expect((await exchange(1_600)).silent).to.deep.equal(['a']);
  expect((await exchange(1_700)).silent).to.deep.equal([]);
  expect(batcher.size).to.equal(1);
});

it('heartbeat batcher: fenced members are notified and missing ones announced again', async () => {
  const {answers, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  void receive(fullHeartbeat('b'), 0);
  const fenced = [{id: 'a', boot: 'boot'}];
  await exchange(1, {fenced, missing: ['b']});
  expect(answers).to.deep.equal([{outcome: 'fenced'}]);
  const batch = await exchange(2);
  expect(batch.announced.map(each => each.id)).to.deep.equal(['b']);
  expect(answers[1]).to.deep.equal({outcome: 'taken', receipt: RECEIPT});
});

it('heartbeat batcher: an older agent with the same ID is fenced and the newer one stays', async () => {
  const {batcher, exchange} = createBatcher();
  const agent = (boot: string, fence: number) => {
    const target = {...TARGET, fence};
    return {
      ...fullHeartbeat('a'),
      boot,
      member: {...member('a'), boot, target},
    };
  };
  void batcher.receive(agent('second', 2), 0);
  const older = await batcher.receive(agent('first', 1), 1);
  expect(older).to.deep.equal({outcome: 'fenced'});
  const {announced} = await exchange(2);
  expect(announced.map(each => each.boot)).to.deep.equal(['second']);
});

it('heartbeat batcher: a restarted agent with the same ID is not fenced together with the older one', async () => {
  const {batcher, answers, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  const batch = batcher.createBatch(1);
  const restarted = {...fullHeartbeat('a'), boot: 'second'};
  void receive(
    {...restarted, member: {...restarted.member, boot: 'second'}},
    2,
  );
  const fenced = [{id: 'a', boot: 'boot'}];
  batcher.handleAnswer(batch, answer({fenced}), 1, 3);
  await exchange(4);
  const outcomes = answers.map(each => each.outcome);
  expect(outcomes).to.deep.equal(['unknown', 'taken']);
});

it('heartbeat batcher: load reports are stored and not sent to the leader', async () => {
  const {store, batcher, receive, exchange} = createBatcher();
  const load = createLoadReport({running: 1});
  void receive({...fullHeartbeat('a'), load}, 0);
  const {announced} = await exchange(1);
  expect(announced).to.deep.equal([fullHeartbeat('a').member]);
  const next = createLoadReport({running: 2});
  void batcher.receive({...unchangedHeartbeat('a'), load: next}, 2);
  expect(batcher.isUrgent).to.equal(false);
  expect((await exchange(3)).announced).to.deep.equal([]);
  expect(store.changesAfter(-1).changed).to.deep.equal([
    {id: 'a', boot: 'boot', load: next},
  ]);
});

it('heartbeat batcher: the load report of an unknown announcement is ignored', async () => {
  const {store, batcher} = createBatcher();
  await batcher.receive(
    {...unchangedHeartbeat('a'), load: createLoadReport()},
    0,
  );
  expect(store.changesAfter(-1).changed).to.deep.equal([]);
});

it('heartbeat batcher: load reports of silent, fenced and restarted members are removed', async () => {
  const {store, batcher, receive, exchange} = createBatcher();
  const load = createLoadReport();
  ['silent', 'fenced', 'restarted', 'stays'].forEach(id => {
    void receive({...fullHeartbeat(id), load}, 0);
  });
  await exchange(1);
  void batcher.receive(unchangedHeartbeat('fenced'), 1_400);
  void batcher.receive(unchangedHeartbeat('stays'), 1_400);
  const restarted = {...fullHeartbeat('restarted'), boot: 'second'};
  void receive(restarted, 1_400);
  await exchange(1_600, {fenced: [{id: 'fenced', boot: 'boot'}]});
  const {changed, removed} = store.changesAfter(-1);
  expect(changed.map(each => each.id)).to.deep.equal(['stays']);
  expect(removed).to.have.members(['silent', 'fenced', 'restarted']);
});

it('heartbeat batcher: after a lost batch all members are announced again', async () => {
  const {batcher, answers, receive, exchange} = createBatcher();
  void receive(fullHeartbeat('a'), 0);
  await exchange(1);
  void batcher
    .receive(unchangedHeartbeat('a'), 2)
    .then(each => answers.push(each));
  batcher.handleFailure('no-leader');
  await Promise.resolve();
  expect(answers[1]).to.deep.equal({outcome: 'no-leader'});
  const batch = await exchange(3, {taken: false});
  expect(batch.stamp).to.equal(undefined);
  expect((await exchange(4)).announced).to.have.length(1);
});

const STEP = fc.record({
  kind: fc.constantFrom('beat', 'beat', 'send', 'deliver', 'answer', 'lose'),
  id: fc.constantFrom('a', 'b', 'c'),
  pauseMs: fc.oneof(
    fc.integer({min: 0, max: 400}),
    fc.integer({min: 0, max: 6_000}),
  ),
});

it('heartbeat batcher model: no lease outlasts the last heartbeat by more than the lease time', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 120}), steps => {
      const run = new RelayRun();
      for (const step of steps) {
        run.now += step.pauseMs;
        run.step(step.kind, step.id);
        run.check();
      }
    }),
    RUNS,
  );
});

/** Simulates one relay and one leader with arbitrary message delays. */
class RelayRun {
  now = 0;
  private readonly heardAt = new Map<string, number>();
  private readonly batcher = new HeartbeatBatcher(RELAY, new LoadReportStore());
  private readonly table = new MemberTable({table: 't', leaseMs: LEASE_MS});
  private readonly sessions = new RelaySessions({
    table: this.table,
    leaseMs: LEASE_MS,
    newestFenceOf: () => undefined,
  });
  private readonly lost: HeartbeatBatch[] = [];
  private sent?: {readonly batch: HeartbeatBatch; readonly at: number};
  private answered?: BatchAnswer;

  step(kind: string, id: string): void {
    switch (kind) {
      case 'beat':
        this.heardAt.set(id, this.now);
        void this.batcher.receive(fullHeartbeat(id), this.relayNow);
        return;
      case 'send':
        this.sent ??= {
          batch: this.batcher.createBatch(this.relayNow),
          at: this.relayNow,
        };
        return;
      case 'deliver':
        if (this.sent !== undefined) {
          this.answered ??= this.deliver(this.sent.batch);
        }
        // A batch that the relay has abandoned arrives late.
        this.lost.splice(0).forEach(batch => this.deliver(batch));
        return;
      case 'answer':
        if (this.sent !== undefined && this.answered !== undefined) {
          const {batch, at} = this.sent;
          this.batcher.handleAnswer(batch, this.answered, at, this.relayNow);
          this.sent = this.answered = undefined;
        }
        return;
      default:
        if (this.sent !== undefined) {
          this.lost.push(this.sent.batch);
          this.sent = this.answered = undefined;
          this.batcher.handleFailure('cut-off');
        }
    }
  }

  check(): void {
    this.table.expire(this.now);
    for (const {id} of this.table.members()) {
      expect(this.heardAt.get(id)! + LEASE_MS).to.be.at.least(this.now);
    }
  }

  /** The relay's clock differs from the leader's. */
  private get relayNow(): number {
    return this.now + 12_345;
  }

  private deliver(batch: HeartbeatBatch): BatchAnswer {
    const {answer: taken} = this.sessions.applyBatch(batch, this.now);
    return {...taken, receipt: RECEIPT};
  }
}
