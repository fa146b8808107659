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
import {loadReport, targetReport} from '@marigoldspur/test-members';

const RUNS = {seed: 11, numRuns: 500};
const LEASE_MS = 3_000;
const RECEIPT = {leaseMs: LEASE_MS, revision: 1};
const RELAY = {id: 'entry-0', boot: 'boot', zone: 'lima-a'};

const TARGET = targetReport();

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

function whole(id: string, mark = 1) {
  return {id, boot: 'boot', mark, member: {...member(id), mark}};
}

function short(id: string, mark = 1) {
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

/** Gathers, and keeps the answers in the order in which they come. */
function gathering() {
  const board = new LoadReportStore();
  const gathered = new HeartbeatBatcher(RELAY, board);
  const answers: RelayedAnswer[] = [];
  const hear = (heartbeat: RelayedHeartbeat, now: number) =>
    gathered.receive(heartbeat, now).then(each => answers.push(each));
  const exchange = async (now: number, change?: Partial<BatchAnswer>) => {
    const batch = gathered.createBatch(now);
    gathered.handleAnswer(batch, answer(change), now, now);
    await Promise.resolve();
    return batch;
  };
  return {board, gathered, answers, hear, exchange};
}

it('gathering: a heartbeat is answered once the leader took it', async () => {
  const {answers, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  await exchange(1, {taken: false});
  expect(answers).to.deep.equal([]);
  const batch = await exchange(2);
  expect(batch.announced.map(each => each.id)).to.deep.equal(['a']);
  expect(answers).to.deep.equal([{outcome: 'taken', receipt: RECEIPT}]);
});

it('gathering: members are told of the relays that control named last', async () => {
  const {gathered, answers, hear, exchange} = gathering();
  const relays = ['http://127.0.0.1:1'];
  void hear(whole('a'), 0);
  await exchange(1, {taken: false, receipt: {...RECEIPT, relays}});
  await exchange(2);
  void gathered.receive(short('a'), 3).then(each => answers.push(each));
  await exchange(4);
  const receipt = {...RECEIPT, relays};
  const answer = {outcome: 'taken', receipt};
  expect(answers).to.deep.equal([answer, answer]);
});

it('gathering: what did not change is renewed without being told again', async () => {
  const {gathered, answers, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  await exchange(1);
  void gathered.receive(short('a'), 1_000).then(each => answers.push(each));
  const batch = await exchange(1_100);
  expect(batch).to.deep.include({announced: [], silent: [], heardMs: 999});
  expect(answers).to.have.length(2);
});

it('gathering: an announcement that is not known has to be sent whole', async () => {
  const {gathered, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  await exchange(1);
  const unknown = {outcome: 'unknown'};
  expect(await gathered.receive(short('b'), 2)).to.deep.equal(unknown);
  expect(await gathered.receive(short('a', 2), 2)).to.deep.equal(unknown);
  const other = {...short('a'), boot: 'second'};
  expect(await gathered.receive(other, 2)).to.deep.equal(unknown);
});

it('gathering: one that falls silent is named once and no longer spoken for', async () => {
  const {gathered, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  void hear(whole('b'), 0);
  await exchange(1);
  void gathered.receive(short('b'), 1_400);
  expect((await exchange(1_600)).silent).to.deep.equal(['a']);
  expect((await exchange(1_700)).silent).to.deep.equal([]);
  expect(gathered.size).to.equal(1);
});

it('gathering: fenced and missing ones are told so, or told again', async () => {
  const {answers, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  void hear(whole('b'), 0);
  const fenced = [{id: 'a', boot: 'boot'}];
  await exchange(1, {fenced, missing: ['b']});
  expect(answers).to.deep.equal([{outcome: 'fenced'}]);
  const batch = await exchange(2);
  expect(batch.announced.map(each => each.id)).to.deep.equal(['b']);
  expect(answers[1]).to.deep.equal({outcome: 'taken', receipt: RECEIPT});
});

it('gathering: an older agent of the same name is fenced and the newer stays', async () => {
  const {gathered, exchange} = gathering();
  const agent = (boot: string, fence: number) => {
    const target = {...TARGET, fence};
    return {...whole('a'), boot, member: {...member('a'), boot, target}};
  };
  void gathered.receive(agent('second', 2), 0);
  const older = await gathered.receive(agent('first', 1), 1);
  expect(older).to.deep.equal({outcome: 'fenced'});
  const {announced} = await exchange(2);
  expect(announced.map(each => each.boot)).to.deep.equal(['second']);
});

it('gathering: an agent started anew under the same name is not fenced with the older', async () => {
  const {gathered, answers, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  const batch = gathered.createBatch(1);
  const anew = {...whole('a'), boot: 'second'};
  void hear({...anew, member: {...anew.member, boot: 'second'}}, 2);
  const fenced = [{id: 'a', boot: 'boot'}];
  gathered.handleAnswer(batch, answer({fenced}), 1, 3);
  await exchange(4);
  const outcomes = answers.map(each => each.outcome);
  expect(outcomes).to.deep.equal(['unknown', 'taken']);
});

it('gathering: load reports go to the board and not to the leader', async () => {
  const {board, gathered, hear, exchange} = gathering();
  const load = loadReport({running: 1});
  void hear({...whole('a'), load}, 0);
  const {announced} = await exchange(1);
  expect(announced).to.deep.equal([whole('a').member]);
  const next = loadReport({running: 2});
  void gathered.receive({...short('a'), load: next}, 2);
  expect(gathered.isUrgent).to.equal(false);
  expect((await exchange(3)).announced).to.deep.equal([]);
  expect(board.changesAfter(-1).changed).to.deep.equal([
    {id: 'a', boot: 'boot', load: next},
  ]);
});

it('gathering: the load report of an announcement that is not known is not taken', async () => {
  const {board, gathered} = gathering();
  await gathered.receive({...short('a'), load: loadReport()}, 0);
  expect(board.changesAfter(-1).changed).to.deep.equal([]);
});

it('gathering: load reports leave with who falls silent, is fenced or starts anew', async () => {
  const {board, gathered, hear, exchange} = gathering();
  const load = loadReport();
  ['silent', 'fenced', 'anew', 'stays'].forEach(id => {
    void hear({...whole(id), load}, 0);
  });
  await exchange(1);
  void gathered.receive(short('fenced'), 1_400);
  void gathered.receive(short('stays'), 1_400);
  const anew = {...whole('anew'), boot: 'second'};
  void hear(anew, 1_400);
  await exchange(1_600, {fenced: [{id: 'fenced', boot: 'boot'}]});
  const {changed, removed} = board.changesAfter(-1);
  expect(changed.map(each => each.id)).to.deep.equal(['stays']);
  expect(removed).to.have.members(['silent', 'fenced', 'anew']);
});

it('gathering: after a lost batch everything is told again', async () => {
  const {gathered, answers, hear, exchange} = gathering();
  void hear(whole('a'), 0);
  await exchange(1);
  void gathered.receive(short('a'), 2).then(each => answers.push(each));
  gathered.handleFailure('no-leader');
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

it('gathering model: no lease goes past the last heartbeat and a lease', () => {
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

/** One relay and one leader, whose messages take any time. */
class RelayRun {
  now = 0;
  private readonly heardAt = new Map<string, number>();
  private readonly gathered = new HeartbeatBatcher(
    RELAY,
    new LoadReportStore(),
  );
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
        void this.gathered.receive(whole(id), this.relayNow);
        return;
      case 'send':
        this.sent ??= {
          batch: this.gathered.createBatch(this.relayNow),
          at: this.relayNow,
        };
        return;
      case 'deliver':
        if (this.sent !== undefined) {
          this.answered ??= this.deliver(this.sent.batch);
        }
        // A batch that the relay gave up on comes late.
        this.lost.splice(0).forEach(batch => this.deliver(batch));
        return;
      case 'answer':
        if (this.sent !== undefined && this.answered !== undefined) {
          const {batch, at} = this.sent;
          this.gathered.handleAnswer(batch, this.answered, at, this.relayNow);
          this.sent = this.answered = undefined;
        }
        return;
      default:
        if (this.sent !== undefined) {
          this.lost.push(this.sent.batch);
          this.sent = this.answered = undefined;
          this.gathered.handleFailure('cut-off');
        }
    }
  }

  check(): void {
    this.table.expire(this.now);
    for (const {id} of this.table.members()) {
      expect(this.heardAt.get(id)! + LEASE_MS).to.be.at.least(this.now);
    }
  }

  /** The relay's clock shows another time than the leader's. */
  private get relayNow(): number {
    return this.now + 12_345;
  }

  private deliver(batch: HeartbeatBatch): BatchAnswer {
    const {answer: taken} = this.sessions.applyBatch(batch, this.now);
    return {...taken, receipt: RECEIPT};
  }
}
