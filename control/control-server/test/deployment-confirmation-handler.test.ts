import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {DeploymentConfirmation} from '@marigoldspur/deployment';
import {Fault} from '@marigoldspur/faults';
import {createUnlimitedMemory} from '@marigoldspur/http-link';
import {createDeploymentConfirmationHandler} from '@marigoldspur/control-server';

let server: http.Server;
let url: string;
let confirmed: Result<DeploymentConfirmation, Fault>;

beforeEach(async () => {
  const fleet = {confirmDeployment: async () => confirmed};
  const handler = createDeploymentConfirmationHandler(
    fleet,
    createUnlimitedMemory(),
  );
  server = http.createServer((request, response) => {
    void handler(request, response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

it('deployment confirmation: the answer is the revision, null without a deployment', async () => {
  for (const revision of [7, null]) {
    confirmed = Result.ok({revision});
    const response = await fetch(url, {method: 'POST', body: '{}'});
    expect(response.status).to.equal(200);
    expect(await response.json()).to.deep.equal({revision});
  }
});

it('deployment confirmation: without a quorum, and for a message that is no object, the answer is 503', async () => {
  confirmed = Result.err(new Fault('NO_QUORUM', 'no quorum'));
  const unconfirmed = await fetch(url, {method: 'POST', body: '{}'});
  expect(unconfirmed.status).to.equal(503);
  expect(await unconfirmed.json()).to.include({fault: 'NO_QUORUM'});
  confirmed = Result.ok({revision: 7});
  for (const body of ['', '3', '[', `{"a":"${'x'.repeat(2_000)}"}`]) {
    const refused = await fetch(url, {method: 'POST', body});
    expect(refused.status).to.equal(503);
  }
});
