import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {PermitRequest} from '@marigoldspur/deployment';
import {PermitClient} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import {readBody} from '@marigoldspur/http-link';

const CALL = {
  limit: {id: 't', bornAt: 0, perSecond: 1, ageMs: 0},
  priority: 0,
  maxWaitMs: 0,
};

/** A replica of control that grants all permits, or answers nothing. */
class Replica {
  readonly requests: PermitRequest[] = [];
  isSilent = false;
  private readonly server = http.createServer(async (request, response) => {
    const body = await readBody(request, 10_000);
    this.requests.push(JSON.parse(body.unwrapOr(Buffer.from('{}')).toString()));
    if (!this.isSilent) {
      response.end(JSON.stringify({isGranted: true, waitMs: 0}));
    }
  });

  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

let replicas: Replica[];
let client: PermitClient;

beforeEach(async () => {
  replicas = [new Replica(), new Replica(), new Replica()];
  const urls = await Promise.all(replicas.map(replica => replica.start()));
  client = new PermitClient({
    agent: new http.Agent(),
    replicas: () => urls,
    events: new EventLog({process: 'test'}),
  });
});

afterEach(() => replicas.forEach(replica => replica.stop()));

function ask() {
  return client.request(CALL, new AbortController().signal);
}

/** The replica that grants the permits of the target. */
async function findGranter(): Promise<Replica> {
  await ask();
  return replicas.find(({requests}) => requests.length > 0)!;
}

it('permit client: the same replica grants all permits of a target', async () => {
  const granter = await findGranter();
  await Promise.all([ask(), ask(), ask()]);
  expect(granter.requests).to.have.length(4);
  expect(granter.requests.every(({isStandIn}) => !isStandIn)).to.equal(true);
});

it('permit client: another replica stands in for one that does not answer, without another wait', async () => {
  const granter = await findGranter();
  granter.isSilent = true;
  expect((await ask()).isGranted).to.equal(true);
  const startedAt = performance.now();
  expect((await ask()).isGranted).to.equal(true);
  expect(performance.now() - startedAt).to.be.below(200);
  const standIn = replicas.find(
    replica => replica !== granter && replica.requests.length > 0,
  )!;
  expect(standIn.requests.map(({isStandIn}) => isStandIn)).to.deep.equal([
    true,
    true,
  ]);
});

it('permit client: without an answer of both replicas a call is denied with the time to come back', async () => {
  replicas.forEach(replica => (replica.isSilent = true));
  const {isGranted, waitMs} = await ask();
  expect(isGranted).to.equal(false);
  expect(waitMs).to.be.above(0);
});
