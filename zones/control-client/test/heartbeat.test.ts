import http from 'node:http';
import {expect} from 'chai';
import {heartbeatHandler} from '@marigoldspur/control-api';
import {
  ControlClient,
  HeartbeatRelay,
  startHeartbeat,
  type HeartbeatSender,
  type HeartbeatResult,
} from '@marigoldspur/control-client';
import {Fault} from '@marigoldspur/faults';
import {closeServer, jsonStreamHandler, listen} from '@marigoldspur/http-link';
import {
  LoadReportStore,
  MemberTable,
  RelaySessions,
} from '@marigoldspur/membership';
import type {
  HeartbeatBatch,
  Member,
  RelayedAnswer,
  RelayedHeartbeat,
} from '@marigoldspur/messages';
import {loadReport, targetReport} from '@marigoldspur/test-members';

const LEASE_MS = 3_000;
const LOOPBACK = '127.0.0.1';
const RELAY = {id: 'entry-0', boot: 'boot', zone: 'lima-a'};
const RECEIPT = {leaseMs: LEASE_MS, revision: 0};

const ends: Array<() => unknown> = [];

afterEach(async () => {
  await Promise.all(ends.splice(0).map(end => end()));
});

async function serve(handler: http.RequestListener): Promise<string> {
  const server = http.createServer(handler);
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  ends.push(() => {
    server.closeAllConnections();
    return closeServer(server);
  });
  return `http://${LOOPBACK}:${port}`;
}

/** A leader that commits to nothing but its member table. */
class Leader {
  readonly table = new MemberTable({table: 't', leaseMs: LEASE_MS});
  readonly direct: Member[] = [];
  readonly fences = new Map<string, number>();
  relays: string[] = [];
  fault?: Fault;
  url = '';
  private readonly sessions = new RelaySessions({
    table: this.table,
    leaseMs: LEASE_MS,
    newestFenceOf: target => this.fences.get(target),
  });

  async start(): Promise<Leader> {
    this.url = await serve(heartbeatHandler(this));
    return this;
  }

  async heartbeat(member: Member) {
    this.direct.push(member);
    if (this.fault !== undefined) {
      throw this.fault;
    }
    this.table.announce(member, performance.now());
    return {...RECEIPT, relays: this.relays};
  }

  async heartbeats(batch: HeartbeatBatch) {
    const {answer} = this.sessions.applyBatch(batch, performance.now());
    return {...answer, receipt: {...RECEIPT, relays: this.relays}};
  }
}

/** A relay whose answers the test decides; undefined is none. */
async function fakeRelay(
  answer: (heartbeat: RelayedHeartbeat) => RelayedAnswer | undefined,
) {
  const heard: RelayedHeartbeat[] = [];
  const handle = jsonStreamHandler({
    maxBodyBytes: 100_000,
    answer: async message => {
      const heartbeat = message as RelayedHeartbeat;
      heard.push(heartbeat);
      return answer(heartbeat) ?? new Promise(() => {});
    },
  });
  const url = await serve((request, response) => {
    handle(request, response);
  });
  return {heard, url};
}

function clientOf(leader: Leader): ControlClient {
  const client = new ControlClient({urls: [leader.url]});
  ends.push(() => client.close());
  return client;
}

function agent(): Member {
  return {
    id: 'agent-0',
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
    target: targetReport({fence: 1}),
  };
}

/** Starts a heartbeat, and waits for its answers in turn. */
function start(client: ControlClient, member: () => Member) {
  const answers: HeartbeatResult[] = [];
  let wake = () => {};
  const heartbeat: HeartbeatSender = startHeartbeat(client, member, answer => {
    answers.push(answer);
    wake();
  });
  ends.push(() => heartbeat.stop());
  const until = async (count: number) => {
    while (answers.length < count) {
      await new Promise<void>(resolve => (wake = resolve));
    }
    return answers[count - 1].result;
  };
  return {heartbeat, until};
}

it('heartbeat: a relay of the zone gets it, whole only where it changed', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(() => ({outcome: 'taken', receipt: RECEIPT}));
  leader.relays = [relay.url];
  let healthy = true;
  const {until} = start(clientOf(leader), () => {
    const member = agent();
    return {...member, target: {...member.target!, healthy}};
  });
  await until(3);
  healthy = false;
  await until(4);
  expect(leader.direct).to.have.length(1);
  expect(relay.heard.map(each => each.member !== undefined)).to.deep.equal([
    true,
    false,
    true,
  ]);
});

it('heartbeat: a relay gets the load report by itself, only where it changed', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(() => ({outcome: 'taken', receipt: RECEIPT}));
  leader.relays = [relay.url];
  let running = 0;
  const {until} = start(clientOf(leader), () => {
    const load = loadReport({running});
    return {...agent(), target: targetReport({fence: 1, load})};
  });
  await until(3);
  running = 1;
  await until(4);
  expect(leader.direct[0].target?.load?.running).to.equal(0);
  expect(relay.heard.map(each => each.load?.running)).to.deep.equal([
    0,
    undefined,
    1,
  ]);
  const [whole, ...others] = relay.heard.map(each => each.member);
  expect(whole?.target).to.not.have.property('load');
  expect(others).to.deep.equal([undefined, undefined]);
});

it('heartbeat: a late one of an earlier way is older than the next', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(() => ({outcome: 'taken', receipt: RECEIPT}));
  leader.relays = [relay.url];
  const {until} = start(clientOf(leader), agent);
  await until(2);
  expect(relay.heard[0].mark).to.be.above(leader.direct[0].mark!);
});

it('heartbeat: a relay that falls silent is left, and control told at once', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(() => undefined);
  leader.relays = [relay.url];
  const {until} = start(clientOf(leader), agent);
  await until(3);
  expect(relay.heard).to.have.length(1);
  expect(leader.direct).to.have.length(3);
});

it('heartbeat: a relay that stands by takes over', async () => {
  const leader = await new Leader().start();
  const cutOff = await fakeRelay(() => ({outcome: 'cut-off'}));
  const other = await fakeRelay(() => ({outcome: 'taken', receipt: RECEIPT}));
  leader.relays = [cutOff.url, other.url];
  const {until} = start(clientOf(leader), agent);
  await until(3);
  expect(cutOff.heard).to.have.length(1);
  expect(other.heard).to.have.length(1);
});

it('heartbeat: while control fails its relays stay in use', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(() => ({outcome: 'cut-off'}));
  leader.relays = [relay.url];
  const {heartbeat, until} = start(clientOf(leader), agent);
  await until(1);
  leader.fault = new Fault('INTERNAL', 'overloaded');
  await heartbeat.sendNow();
  await heartbeat.sendNow();
  await until(3);
  expect(relay.heard).to.have.length(2);
});

it('heartbeat: a relay without a leader is not left', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(() => ({outcome: 'no-leader'}));
  leader.relays = [relay.url];
  const {until} = start(clientOf(leader), agent);
  const result = await until(2);
  expect(result.isErr && result.error.code).to.equal('NO_QUORUM');
  await until(3);
  expect(leader.direct).to.have.length(1);
});

it('heartbeat: one that the relay forgot is sent whole', async () => {
  const leader = await new Leader().start();
  const relay = await fakeRelay(heartbeat =>
    heartbeat.member === undefined
      ? {outcome: 'unknown'}
      : {outcome: 'taken', receipt: RECEIPT},
  );
  leader.relays = [relay.url];
  const {until} = start(clientOf(leader), agent);
  expect((await until(3)).isOk).to.equal(true);
  expect(relay.heard).to.have.length(3);
});

it('heartbeat relay: control’s word reaches the member, also that it is fenced', async () => {
  const leader = await new Leader().start();
  const client = clientOf(leader);
  const relay = new HeartbeatRelay(client, RELAY, new LoadReportStore());
  ends.push(() => relay.stop());
  leader.relays = [
    await serve((request, response) => {
      relay.handle(request, response);
    }),
  ];
  const {until} = start(client, agent);
  expect((await until(2)).isOk).to.equal(true);
  leader.fences.set('lm-desk-0', 2);
  const result = await until(3);
  expect(result.isErr && result.error.code).to.equal('FENCED');
  expect(leader.table.members()).to.deep.equal([]);
  expect(leader.direct).to.have.length(1);
});
