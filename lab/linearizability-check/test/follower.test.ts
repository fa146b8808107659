import {expect} from 'chai';
import {ControlClient, SettingsFollower} from '@marigoldspur/control-client';
import {
  waitUntilAllReplicasAreVoters,
  startLinkedControlGroup,
  type LinkedControlGroup,
} from '@marigoldspur/linearizability-check';
import {EventLog} from '@marigoldspur/event-log';

const START_TIMEOUT_MS = 30_000;
const POLL_MS = 20;

let group: LinkedControlGroup;
let client: ControlClient;

before(async () => {
  group = await startLinkedControlGroup({replicas: 3});
  client = new ControlClient({urls: group.directUrls});
  await submitNextChange();
  await waitUntilAllReplicasAreVoters(group.directUrls);
});

after(async () => {
  client?.close();
  await group?.stop();
});

async function submitNextChange(): Promise<number> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  const view = await client.call(
    (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
    deadline,
  );
  const number = view.unwrapOrElse(() => ({revision: 0})).revision + 1;
  const outcome = await client.call(
    (replica, signal) =>
      replica.changeSettings.mutate(
        {
          id: `00000000-0000-4000-8000-${String(number).padStart(12, '0')}`,
          number,
          author: 'test',
          edits: [
            {edit: 'set', path: '/', setting: 'queueLimit', value: number},
          ],
        },
        {signal},
      ),
    deadline,
  );
  expect(outcome.isOk).to.equal(true);
  return number;
}

async function waitUntilInForce(follower: SettingsFollower, revision: number) {
  while (follower.settings.revision < revision) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/** Starts a follower of one replica at a given URL; it knows the others by their direct URLs. */
async function startFollower(index: number, url: string) {
  const urls = group.directUrls.map((directUrl, position) =>
    position === index ? url : directUrl,
  );
  const followerClient = new ControlClient({urls});
  const events = new EventLog({process: 'follower'});
  const follower = new SettingsFollower(followerClient, events, {
    firstReplica: index,
  });
  await follower.start(performance.now() + START_TIMEOUT_MS);
  await waitUntilInForce(follower, await submitNextChange());
  return {
    follower,
    stop: async () => {
      await follower.stop();
      followerClient.close();
    },
  };
}

async function findReplica(role: 'leader' | 'follower'): Promise<number> {
  const states = await Promise.all(
    group.directUrls.map(url => client.replica(url).status.query()),
  );
  return states.findIndex(state => state.role === role);
}

it('follower: a follower switches to another replica when the link to its replica is silently cut', async () => {
  const index = await findReplica('follower');
  const {follower, stop} = await startFollower(index, group.linkUrls[index]);
  group.links[index].setState({forward: false, backward: false});
  await waitUntilInForce(follower, await submitNextChange());
  group.links[index].setState({forward: true, backward: true});
  await stop();
});

it('follower: a follower switches to another replica when its replica is cut off from the others', async () => {
  const index = await findReplica('follower');
  const {follower, stop} = await startFollower(index, group.directUrls[index]);
  group.links[index].setState({forward: false, backward: false});
  await waitUntilInForce(follower, await submitNextChange());
  group.links[index].setState({forward: true, backward: true});
  await stop();
});
