import http from 'node:http';
import {expect} from 'chai';
import {createHeartbeatHandler} from '@marigoldspur/control-api';
import {
  ControlClient,
  HeartbeatRelay,
  startHeartbeat,
  type HeartbeatSender,
  type HeartbeatResult,
} from '@marigoldspur/control-client';
import {Fault} from '@marigoldspur/faults';
import {
  closeServer,
  createJsonStreamHandler,
  listen,
} from '@marigoldspur/http-link';
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
import {
  createLoadReport,
  createTargetReport,
} from '@marigoldspur/report-fixtures';

const LEASE_MS = 3_000;
const LOOPBACK = '127.0.0.1';
const RELAY = {id: 'entry-0', boot: 'boot', zone: 'lima-a'};
const RECEIPT = {leaseMs: LEASE_MS, revision: 0};

const cleanups: Array<() => unknown> = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
});

async function serve(handler: http.RequestListener): Promise<string> {
  const server = http.createServer(handler);
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  cleanups.push(() => {
    server.closeAllConnections();
    return closeServer(server);
  });
  return `http://${LOOPBACK}:${port}`;
}

/** A fake leader that only maintains a member table. */
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
    this.url = await serve(createHeartbeatHandler(this));
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

/** Starts a relay whose answers the test provides; undefined sends no answer. */
async function startFakeRelay(
  answer: (heartbeat: RelayedHeartbeat) => RelayedAnswer | undefined,
) {
  const received: RelayedHeartbeat[] = [];
  const handle = createJsonStreamHandler({
    maxBodyBytes: 100_000,
    answer: async message => {
      const heartbeat = message as RelayedHeartbeat;
      received.push(heartbeat);
      return answer(heartbeat) ?? new Promise(() => {});
    },
  });
  const url = await serve((request, response) => {
    handle(request, response);
  });
  return {received, url};
}

function createClient(leader: Leader): ControlClient {
  const client = new ControlClient({urls: [leader.url]});
  cleanups.push(() => client.close());
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
    target: createTargetReport({fence: 1}),
  };
}

/** Starts the heartbeats of a process; the test can wait for each of its answers. */
function start(client: ControlClient, member: () => Member) {
  const answers: HeartbeatResult[] = [];
  let wake = () => {};
  const heartbeat: HeartbeatSender = startHeartbeat(client, member, answer => {
    answers.push(answer);
    wake();
  });
  cleanups.push(() => heartbeat.stop());
  const waitForAnswer = async (count: number) => {
    while (answers.length < count) {
      await new Promise<void>(resolve => (wake = resolve));
    }
    return answers[count - 1].result;
  };
  return {heartbeat, waitForAnswer};
}

it('heartbeat: a relay of the zone receives the full member only after a change', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(() => ({
    outcome: 'taken',
    receipt: RECEIPT,
  }));
  leader.relays = [relay.url];
  let healthy = true;
  const {waitForAnswer} = start(createClient(leader), () => {
    const member = agent();
    return {...member, target: {...member.target!, healthy}};
  });
  await waitForAnswer(3);
  healthy = false;
  await waitForAnswer(4);
  expect(leader.direct).to.have.length(1);
  expect(relay.received.map(each => each.member !== undefined)).to.deep.equal([
    true,
    false,
    true,
  ]);
});

it('heartbeat: a relay receives the load report separately and only after a change', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(() => ({
    outcome: 'taken',
    receipt: RECEIPT,
  }));
  leader.relays = [relay.url];
  let running = 0;
  const {waitForAnswer} = start(createClient(leader), () => {
    const load = createLoadReport({running});
    return {...agent(), target: createTargetReport({fence: 1, load})};
  });
  await waitForAnswer(3);
  running = 1;
  await waitForAnswer(4);
  expect(leader.direct[0].target?.load?.running).to.equal(0);
  expect(relay.received.map(each => each.load?.running)).to.deep.equal([
    0,
    undefined,
    1,
  ]);
  const [first, ...others] = relay.received.map(each => each.member);
  expect(first?.target).to.not.have.property('load');
  expect(others).to.deep.equal([undefined, undefined]);
});

it('heartbeat: the mark increases when the heartbeat switches from control to a relay', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(() => ({
    outcome: 'taken',
    receipt: RECEIPT,
  }));
  leader.relays = [relay.url];
  const {waitForAnswer} = start(createClient(leader), agent);
  await waitForAnswer(2);
  expect(relay.received[0].mark).to.be.above(leader.direct[0].mark!);
});

it('heartbeat: a relay that does not answer is abandoned and the heartbeat sent to control at once', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(() => undefined);
  leader.relays = [relay.url];
  const {waitForAnswer} = start(createClient(leader), agent);
  await waitForAnswer(3);
  expect(relay.received).to.have.length(1);
  expect(leader.direct).to.have.length(3);
});

it('heartbeat: the standby relay is used if the first one is cut off from control', async () => {
  const leader = await new Leader().start();
  const cutOff = await startFakeRelay(() => ({outcome: 'cut-off'}));
  const other = await startFakeRelay(() => ({
    outcome: 'taken',
    receipt: RECEIPT,
  }));
  leader.relays = [cutOff.url, other.url];
  const {waitForAnswer} = start(createClient(leader), agent);
  await waitForAnswer(3);
  expect(cutOff.received).to.have.length(1);
  expect(other.received).to.have.length(1);
});

it('heartbeat: relays stay in use while control fails', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(() => ({outcome: 'cut-off'}));
  leader.relays = [relay.url];
  const {heartbeat, waitForAnswer} = start(createClient(leader), agent);
  await waitForAnswer(1);
  leader.fault = new Fault('INTERNAL', 'overloaded');
  await heartbeat.sendNow();
  await heartbeat.sendNow();
  await waitForAnswer(3);
  expect(relay.received).to.have.length(2);
});

it('heartbeat: a relay without a leader is not abandoned', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(() => ({outcome: 'no-leader'}));
  leader.relays = [relay.url];
  const {waitForAnswer} = start(createClient(leader), agent);
  const result = await waitForAnswer(2);
  expect(result.isErr && result.error.code).to.equal('NO_QUORUM');
  await waitForAnswer(3);
  expect(leader.direct).to.have.length(1);
});

it('heartbeat: the full member is sent again if the relay does not know it', async () => {
  const leader = await new Leader().start();
  const relay = await startFakeRelay(heartbeat =>
    heartbeat.member === undefined
      ? {outcome: 'unknown'}
      : {outcome: 'taken', receipt: RECEIPT},
  );
  leader.relays = [relay.url];
  const {waitForAnswer} = start(createClient(leader), agent);
  expect((await waitForAnswer(3)).isOk).to.equal(true);
  expect(relay.received).to.have.length(3);
});

it('heartbeat relay: the answers of control reach the member, including fencing', async () => {
  const leader = await new Leader().start();
  const client = createClient(leader);
  const relay = new HeartbeatRelay(client, RELAY, new LoadReportStore());
  cleanups.push(() => relay.stop());
  leader.relays = [
    await serve((request, response) => {
      relay.handle(request, response);
    }),
  ];
  const {waitForAnswer} = start(client, agent);
  expect((await waitForAnswer(2)).isOk).to.equal(true);
  leader.fences.set('lm-desk-0', 2);
  const result = await waitForAnswer(3);
  expect(result.isErr && result.error.code).to.equal('FENCED');
  expect(leader.table.members()).to.deep.equal([]);
  expect(leader.direct).to.have.length(1);
});
