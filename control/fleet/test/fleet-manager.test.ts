import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {
  DeploymentText,
  FleetMessage,
  SoftwareVersions,
  StreamOrigin,
} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {FleetManager, type FleetManagerOptions} from '@marigoldspur/fleet';
import {DeploymentState} from '@marigoldspur/deployment-state';

const MINUTE_MS = 60_000;
const DEPLOYMENT: DeploymentText = {revision: 1, text: '{}'};

let fleet: FleetManager;
let deployments: DeploymentState;
let hasQuorum: boolean;

beforeEach(() => {
  deployments = new DeploymentState();
  hasQuorum = true;
  fleet = new FleetManager({
    deployments,
    log: {
      readBarrier: async () =>
        hasQuorum
          ? Result.ok(undefined)
          : Result.err(new Fault('NO_QUORUM', 'no quorum')),
      status: () => ({replicas: []}),
    } as unknown as FleetManagerOptions['log'],
    commands: {
      replaceDeployment: async (deployment: DeploymentText) =>
        Result.ok(deployments.replace(deployment)),
    } as unknown as FleetManagerOptions['commands'],
    events: new EventLog({process: 'test'}),
  });
});

afterEach(() => fleet.stop());

/** Returns the software versions that a follower receives when it starts to follow. */
function followVersions(): Promise<SoftwareVersions | undefined> {
  return new Promise(resolve => {
    const connection = Object.assign(new EventEmitter(), {
      writableLength: 0,
      writeHead: () => {},
      write: (line: string) => {
        const message = JSON.parse(line) as FleetMessage;
        if (message.whole) {
          resolve(message.softwareVersions);
        }
      },
      destroy: () => {},
    });
    const request = {resume: () => {}} as http.IncomingMessage;
    fleet.streamServer.handle(
      request,
      connection as unknown as http.ServerResponse,
    );
  });
}

it('fleet manager: a replica that accepts the first deployment has observed all streams', async () => {
  await fleet.replaceDeployment(DEPLOYMENT);
  const versions = await followVersions();
  expect(versions?.observedMs).to.be.greaterThan(MINUTE_MS);
});

it('fleet manager: a replica that starts with a deployment has observed no streams before', async () => {
  deployments.replace(DEPLOYMENT);
  await fleet.replaceDeployment({...DEPLOYMENT, revision: 2});
  const versions = await followVersions();
  expect(versions?.observedMs).to.be.lessThan(MINUTE_MS);
});

it('fleet manager: a replica without a quorum does not know whether there is a deployment', async () => {
  hasQuorum = false;
  await fleet.replaceDeployment(DEPLOYMENT);
  hasQuorum = true;
  const versions = await followVersions();
  expect(versions?.observedMs).to.be.lessThan(MINUTE_MS);
});

it('fleet manager: followers learn versions of engines that announced themselves to other replicas', async () => {
  const origin: StreamOrigin = {
    call: 'c1',
    request: 'r',
    id: 'i1',
    bornAt: 0,
    service: 's',
    softwareVersion: 'v1',
    ageMs: 0,
  };
  fleet.addStreamOrigins([origin], performance.now());
  const versions = await followVersions();
  expect(versions?.versions[0]).to.include({
    service: 's',
    softwareVersion: 'v1',
  });
});
