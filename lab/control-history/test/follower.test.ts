import {expect} from 'chai';
import {ControlClient, SettingsFollower} from '@marigoldspur/control-client';
import {
  awaitWholeGroup,
  startControlGroup,
  type ControlGroup,
} from '@marigoldspur/control-history';
import {EventLog} from '@marigoldspur/event-log';

const START_MS = 30_000;
const POLL_MS = 20;

let group: ControlGroup;
let client: ControlClient;

before(async () => {
  group = await startControlGroup({replicas: 3});
  client = new ControlClient({urls: group.directUrls});
  await nextChange();
  await awaitWholeGroup(group.directUrls);
});

after(async () => {
  client?.close();
  await group?.stop();
});

async function nextChange(): Promise<number> {
  const deadline = performance.now() + START_MS;
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

async function inForce(follower: SettingsFollower, revision: number) {
  while (follower.settings.revision < revision) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/** A follower of one replica; the others are known by their direct URLs. */
async function followerOf(index: number, url: string) {
  const urls = group.directUrls.map((direct, at) =>
    at === index ? url : direct,
  );
  const own = new ControlClient({urls});
  const events = new EventLog({process: 'follower'});
  const follower = new SettingsFollower(own, events, {firstReplica: index});
  await follower.start(performance.now() + START_MS);
  await inForce(follower, await nextChange());
  return {
    follower,
    stop: async () => {
      await follower.stop();
      own.close();
    },
  };
}

async function replicaIn(role: 'leader' | 'follower'): Promise<number> {
  const states = await Promise.all(
    group.directUrls.map(url => client.replica(url).status.query()),
  );
  return states.findIndex(state => state.role === role);
}

it('follower: it leaves a replica whose link is silently cut', async () => {
  const index = await replicaIn('follower');
  const {follower, stop} = await followerOf(index, group.linkUrls[index]);
  group.links[index].set({forward: false, backward: false});
  await inForce(follower, await nextChange());
  group.links[index].set({forward: true, backward: true});
  await stop();
});

it('follower: it leaves a replica that is cut off from the others', async () => {
  const index = await replicaIn('follower');
  const {follower, stop} = await followerOf(index, group.directUrls[index]);
  group.links[index].set({forward: false, backward: false});
  await inForce(follower, await nextChange());
  group.links[index].set({forward: true, backward: true});
  await stop();
});
