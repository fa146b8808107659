import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {MAX_QUOTA_GRANTS, type QuotaRequest} from '@marigoldspur/deployment';
import {createQuotaGrantHandler} from '@marigoldspur/control-server';
import {Fault} from '@marigoldspur/faults';
import {createUnlimitedMemory, exchangeJson} from '@marigoldspur/http-link';

let requests: QuotaRequest[];
let hasQuorum: boolean;
let server: http.Server;
let url: URL;

beforeEach(async () => {
  requests = [];
  hasQuorum = true;
  const granter = {
    grant: async (request: QuotaRequest) => {
      requests.push(request);
      if (!hasQuorum) {
        throw new Fault('NO_QUORUM', 'none');
      }
      const grants = request.grants.map(({amount}) => ({
        granted: amount,
        waitMs: 0,
      }));
      return {grants};
    },
  };
  server = http.createServer(
    createQuotaGrantHandler(granter, createUnlimitedMemory()),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  url = new URL(`http://127.0.0.1:${port}/quota-grants`);
});

afterEach(() => server.close());

/** Resolves to the answer, or to the code of the fault. */
async function send(body: unknown): Promise<unknown> {
  const exchanged = exchangeJson({
    url,
    body,
    agent: new http.Agent(),
    signal: AbortSignal.timeout(5_000),
    maxAnswerBytes: 1_048_576,
  });
  return exchanged.catch((fault: Fault) => fault.code);
}

it('quota grant handler: decisions come in the order of the grants', async () => {
  const grants = [
    {tenant: 'a', amount: 1, isDivisible: false},
    {tenant: 'b', amount: 2, isDivisible: true},
  ];
  const answer = await send({grants, returns: []});
  expect(answer).to.deep.equal({
    grants: [
      {granted: 1, waitMs: 0},
      {granted: 2, waitMs: 0},
    ],
  });
  expect(requests).to.deep.equal([{grants, returns: []}]);
});

it('quota grant handler: the largest message is taken, with names of the greatest length', async () => {
  const amounts = Array.from({length: MAX_QUOTA_GRANTS}, () => ({
    tenant: '"'.repeat(256),
    amount: 999_999_999_999,
  }));
  const grants = amounts.map(each => ({...each, isDivisible: false}));
  const answer = await send({grants, returns: amounts});
  expect(answer).to.have.property('grants').with.length(MAX_QUOTA_GRANTS);
});

it('quota grant handler: without a quorum the entry learns so', async () => {
  hasQuorum = false;
  expect(await send({grants: [], returns: []})).to.equal('NO_QUORUM');
});

for (const body of [
  {},
  {grants: [{tenant: 'a', amount: 1}], returns: []},
  {grants: [{tenant: 'a', amount: -1, isDivisible: false}], returns: []},
  {grants: [{tenant: 'a', amount: 'x', isDivisible: false}], returns: []},
  {grants: [{tenant: '', amount: 1, isDivisible: false}], returns: []},
]) {
  it(`quota grant handler: ${JSON.stringify(body)} decides nothing`, async () => {
    expect(await send(body)).to.be.a('string');
    expect(requests).to.deep.equal([]);
  });
}
