import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {
  FleetMessage,
  ServiceVersion,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {FleetManager, type FleetManagerOptions} from '@marigoldspur/fleet';
import {DeploymentState} from '@marigoldspur/deployment-state';

let fleet: FleetManager;
let deployments: DeploymentState;
let hasQuorum: boolean;
/** Whether a quorum confirms reads. */
let isConfirmed: boolean;

beforeEach(() => {
  deployments = new DeploymentState();
  hasQuorum = true;
  isConfirmed = true;
  fleet = new FleetManager({
    deployments,
    log: {
      readBarrier: async () =>
        isConfirmed
          ? Result.ok(undefined)
          : Result.err(new Fault('NO_QUORUM', 'no quorum')),
      status: () => ({replicas: [{url: 'http://r0'}]}),
    } as unknown as FleetManagerOptions['log'],
    commands: {
      recordSoftwareVersion: async (version: ServiceVersion) => {
        if (!hasQuorum) {
          return Result.err(new Fault('NO_QUORUM', 'no quorum'));
        }
        deployments.recordSoftwareVersion(version);
        fleet.handleDeploymentChange();
        return Result.ok(undefined);
      },
    } as unknown as FleetManagerOptions['commands'],
    events: new EventLog({process: 'test'}),
  });
});

afterEach(() => fleet.stop());

/** Follows the replica; resolves to the messages from its full state on. */
function follow(): Promise<FleetMessage[]> {
  return new Promise(resolve => {
    const messages: FleetMessage[] = [];
    const connection = Object.assign(new EventEmitter(), {
      writableLength: 0,
      writeHead: () => {},
      write: (line: string) => {
        messages.push(JSON.parse(line) as FleetMessage);
        if (messages[0].whole) {
          resolve(messages);
        }
      },
      destroy: () => {},
    });
    const request = {headers: {}, resume: () => {}} as http.IncomingMessage;
    fleet.streamServer.handle(
      request,
      connection as unknown as http.ServerResponse,
    );
  });
}

function announce(sequence: number): void {
  const target: TargetAnnouncement = {
    id: 'i1',
    bornAt: 0,
    sequence,
    service: 's',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 4,
    softwareVersion: 'v1',
    leaving: false,
    models: [],
  };
  fleet.announce(target, performance.now());
}

function targetsIn(messages: readonly FleetMessage[]): string[] {
  return messages.flatMap(({targets = []}) => targets.map(({id}) => id));
}

it('fleet manager: followers learn of a target once its software version is committed', async () => {
  const messages = await follow();
  announce(1);
  expect(targetsIn(messages)).to.deep.equal(['i1']);
  const versions = messages.flatMap(
    ({recordedVersions = []}) => recordedVersions,
  );
  expect(versions).to.deep.equal([{service: 's', softwareVersion: 'v1'}]);
});

it('fleet manager: a target whose software version could not be committed stays unknown until it is', async () => {
  hasQuorum = false;
  announce(1);
  await new Promise(resolve => setImmediate(resolve));
  const messages = await follow();
  expect(targetsIn(messages)).to.deep.equal([]);
  hasQuorum = true;
  announce(2);
  expect(targetsIn(messages)).to.deep.equal(['i1']);
  announce(3);
  expect(targetsIn(messages)).to.deep.equal(['i1']);
});

it('fleet manager: the versions of a service are confirmed by a quorum at the time of the question', async () => {
  announce(1);
  await new Promise(resolve => setImmediate(resolve));
  const {confirmed, recent} = await fleet.findVersionEvidence('s');
  expect(confirmed?.versions.map(each => each.service)).to.deep.equal(['s']);
  expect(confirmed?.replicas).to.deep.equal(['http://r0']);
  expect(recent.versions).to.have.length(1);
  const other = await fleet.findVersionEvidence('other');
  expect(other.confirmed?.versions).to.deep.equal([]);
  isConfirmed = false;
  const unconfirmed = await fleet.findVersionEvidence('s');
  expect(unconfirmed.confirmed).to.equal(undefined);
  expect(unconfirmed.recent.versions).to.have.length(1);
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
  const [{softwareVersions}] = await follow();
  expect(softwareVersions?.versions[0]).to.include({
    service: 's',
    softwareVersion: 'v1',
  });
});

it('fleet: the active deployment is confirmed with its revision, and not without a quorum', async () => {
  const confirm = () => fleet.confirmDeployment(performance.now());
  const none = await confirm();
  expect(none.isOk && none.value).to.deep.equal({revision: null});
  deployments.replace({revision: 3, text: '{}'});
  const confirmed = await confirm();
  expect(confirmed.isOk && confirmed.value).to.deep.equal({revision: 3});
  isConfirmed = false;
  const refused = await confirm();
  expect(refused.isErr && refused.error.code).to.equal('NO_QUORUM');
});

it('fleet manager: followers learn of the end of a target that announced itself to another replica', async () => {
  const messages = await follow();
  fleet.leave('i9', performance.now());
  const gone = messages.flatMap(message => message.gone ?? []);
  expect(gone).to.deep.equal([{id: 'i9', bornAt: 0}]);
});
