import {expect} from 'chai';
import type {SettingsTree} from '@marigoldspur/settings-schema';
import {waitUntil, Fixture, createFixtureTree} from './agent-fixture.js';

/** Settings of the fixture with an additional version `v3` of adapter `a`. */
function treeWithNewVersion(prefetch = true): SettingsTree {
  const tree = createFixtureTree();
  tree.settings = {prefetch};
  const {desk} = tree.customers.callao.services;
  if (desk.kind === 'model') {
    const {a} = desk.adapters;
    const versions = {...a.versions, v3: {digest: 'd3', retired: false}};
    desk.adapters.a = {...a, versions};
  }
  return tree;
}

async function loadsOf(fixture: Fixture): Promise<string[]> {
  const orders = await fixture.fetchOrderRecords();
  return orders.filter(({order}) => order === 'load').map(({model}) => model);
}

function prefetchRequests(fixture: Fixture): string[] {
  return fixture.control.permitRequests
    .filter(({waiters}) => waiters === 0)
    .map(({model}) => model);
}

/** Waits until the agent reports the given settings revision. */
async function waitForRevision(
  fixture: Fixture,
  revision: number,
): Promise<void> {
  await waitUntil(() =>
    [...fixture.control.members.values()].some(
      member => member.revision === revision,
    ),
  );
}

it('prefetches: a new version of a resident adapter is loaded before its first request', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.change(treeWithNewVersion());
  await waitUntil(async () => (await loadsOf(fixture)).includes('a@v3'));
  const response = await fixture.send(agent, {model: 'a@v3', revision: 2});
  expect(response.whole).to.equal(true);
  expect(await loadsOf(fixture)).to.deep.equal(['a@v1', 'a@v3']);
  expect(prefetchRequests(fixture)).to.deep.equal(['a@v3']);
});

it('prefetches: nothing is prefetched without the setting or for an adapter that is not resident', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.send(agent, {model: 'b@v1'});
  fixture.control.change(treeWithNewVersion());
  await waitForRevision(fixture, 2);
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.change(createFixtureTree());
  await waitForRevision(fixture, 3);
  fixture.control.change(treeWithNewVersion(false));
  await waitForRevision(fixture, 4);
  await fixture.send(agent, {model: 'b@v1'});
  expect(prefetchRequests(fixture)).to.deep.equal([]);
  expect(await loadsOf(fixture)).to.deep.equal(['b@v1', 'a@v1']);
});

it('prefetches: a request replaces a prefetch that waits for a permit', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.grants = false;
  fixture.control.change(treeWithNewVersion());
  await waitUntil(() => prefetchRequests(fixture).length > 0);
  const response = fixture.send(agent, {model: 'a@v3', revision: 2});
  await waitUntil(() =>
    fixture.control.permitRequests.some(
      ({model, waiters}) => model === 'a@v3' && waiters === 1,
    ),
  );
  fixture.control.grants = true;
  expect((await response).whole).to.equal(true);
  expect(await loadsOf(fixture)).to.deep.equal(['a@v1', 'a@v3']);
});

it('prefetches: nothing is prefetched if the resident version would have to be evicted', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1});
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.change(treeWithNewVersion());
  await waitForRevision(fixture, 2);
  await fixture.send(agent, {model: 'a@v1', revision: 2});
  expect(prefetchRequests(fixture)).to.deep.equal([]);
});

it('prefetches: a prefetch with a late permit takes no slot that a request needs', async () => {
  const {fixture, agent} = await Fixture.start({slots: 2, tokenMs: 20});
  await fixture.send(agent, {model: 'a@v1', tokens: 1});
  fixture.control.grants = false;
  fixture.control.change(treeWithNewVersion());
  await waitUntil(() => prefetchRequests(fixture).length > 0);
  const first = fixture.send(agent, {model: 'a@v1', tokens: 50});
  const second = fixture.send(agent, {model: 'b@v1', tokens: 1});
  await waitUntil(() =>
    fixture.control.permitRequests.some(({model}) => model === 'b@v1'),
  );
  fixture.control.grants = true;
  expect((await second).whole).to.equal(true);
  expect((await first).whole).to.equal(true);
  expect(await loadsOf(fixture)).to.deep.equal(['a@v1', 'b@v1']);
});

it('prefetches: a retired version is evicted before a less used one', async () => {
  const {fixture, agent} = await Fixture.start({slots: 2});
  await fixture.send(agent, {model: 'b@v2'});
  for (let sent = 0; sent < 5; sent += 1) {
    await fixture.send(agent, {model: 'a@v1'});
  }
  fixture.control.change(createFixtureTree(true));
  await waitForRevision(fixture, 2);
  await fixture.send(agent, {model: 'c@v2', revision: 2});
  const evicted = (await fixture.fetchOrderRecords())
    .filter(({order}) => order === 'unload')
    .map(({model}) => model);
  expect(evicted).to.deep.equal(['a@v1']);
});
