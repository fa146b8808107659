import http from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {expect} from 'chai';
import {
  DEPLOYMENT_REQUEST_SCHEMA,
  DEPLOYMENT_TRANSFER_PATH,
  type DeploymentText,
  type FleetMessage,
} from '@marigoldspur/deployment';
import {DeploymentArchive} from '@marigoldspur/deployment-transfer';
import {EventLog} from '@marigoldspur/event-log';
import {FleetFollower} from '@marigoldspur/fleet-client';

const CONFIG_APPLY_MS = 2_500;

let current: DeploymentText;
let server: http.Server;
let events: EventLog;
let follower: FleetFollower;
let transfers: number;
let streams: http.ServerResponse[];
/** Revisions that the follower passed on, in order. */
let passedOn: number[];
/** Revisions that can't be applied. */
let failing: Set<number>;
let waiting: () => void;

function send(message: FleetMessage): void {
  streams.forEach(stream => stream.write(`${JSON.stringify(message)}\n`));
}

function deploy(revision: number): void {
  current = {revision, text: `{"version":${revision}}`};
  send({deployment: archive.head()});
}

const archive = new DeploymentArchive(() => current);

function namesOfEvents(): string[] {
  return events.eventsAfter(0, 1_000).map(({name}) => name);
}

/** Resolves once a condition holds; it is checked when the follower passes a deployment on. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise<void>(resolve => (waiting = resolve));
  }
}

beforeEach(async () => {
  current = {revision: 1, text: '{"version":1}'};
  events = new EventLog({process: 'entry'});
  transfers = 0;
  streams = [];
  passedOn = [];
  failing = new Set();
  waiting = () => {};
  server = http.createServer(async (request, response) => {
    if (request.url === DEPLOYMENT_TRANSFER_PATH) {
      transfers += 1;
      const body = JSON.parse(await text(request));
      const transfer = archive.answer(DEPLOYMENT_REQUEST_SCHEMA.parse(body));
      response.end(JSON.stringify(transfer));
      return;
    }
    streams.push(response);
    const url = `http://${request.headers.host}`;
    const whole = {whole: true, replicas: [url], deployment: archive.head()};
    response.write(`${JSON.stringify(whole)}\n`);
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
});

afterEach(() => {
  follower.stop();
  server.closeAllConnections();
  server.close();
});

function follow(): void {
  const {port} = server.address() as AddressInfo;
  follower = new FleetFollower({
    seeds: [`http://127.0.0.1:${port}`],
    agent: new http.Agent({keepAlive: true}),
    events,
    onChange: ({hasNewDeployment}) => {
      if (hasNewDeployment) {
        passedOn.push(follower.view.deployment!.revision);
        setImmediate(() => waiting());
        if (failing.has(passedOn.at(-1)!)) {
          throw new Error('no such service');
        }
      }
    },
    onCrashRecords: () => {},
    onSoftwareVersions: () => {},
    onLimits: () => {},
    onReceived: () => {},
  });
}

it('fleet follower: a deployment that failed once while it was applied is in force in time without a newer one', async function () {
  this.timeout(CONFIG_APPLY_MS);
  failing.add(1);
  follow();
  await until(() => passedOn.length === 1);
  failing.clear();
  await until(() => passedOn.length === 2);
  expect(passedOn).to.deep.equal([1, 1]);
  expect(transfers).to.equal(1);
});

it('fleet follower: an error while a deployment is applied is not recorded as one of the transfer', async () => {
  failing.add(1);
  follow();
  await until(() => passedOn.length === 1);
  expect(namesOfEvents()).to.include('deployment-not-applied');
  expect(namesOfEvents()).to.not.include('deployment-not-received');
});

it('fleet follower: a deployment that can not be applied is not tried again after a newer one', async () => {
  failing.add(1);
  follow();
  await until(() => passedOn.length === 2);
  deploy(2);
  await until(() => passedOn.includes(2));
  const count = passedOn.length;
  failing.add(3);
  deploy(3);
  await until(() => passedOn.length === count + 3);
  expect(passedOn.slice(count - 1)).to.deep.equal([2, 3, 3, 3]);
});
