import {expect} from 'chai';
import {PermitManager} from '@marigoldspur/load-permits';

const REPORT_DELAY_MS = 2_000;
const request = {
  store: 'store',
  agent: 'agent',
  model: 'a@v1',
  waiters: 1,
  priority: 5,
  oldestWaitMs: 0,
  waitMs: 60_000,
  usefulMs: 60_000,
};

function createManager(loadOrder: 'first-come' | 'least-harm' = 'least-harm') {
  return new PermitManager({
    loadsAtOnce: 1,
    validMs: 60_000,
    policyOf: () => ({
      loadOrder,
      overloadAfterMs: 30_000,
      overloadPatience: 0.4,
    }),
  });
}

it('permit manager: the next load starts when a permit is released', async () => {
  const permits = createManager();
  const first = await permits.acquire(request);
  const second = permits.acquire({...request, model: 'b@v1'});
  permits.release(first.permit!, 'loaded');
  expect((await second).permit).to.be.a('string');
});

it('permit manager: an agent that lost the answer receives the same permit again', async () => {
  const permits = createManager();
  const first = await permits.acquire(request);
  expect((await permits.acquire(request)).permit).to.equal(first.permit);
});

it('permit manager: stores are independent of each other', async () => {
  const permits = createManager();
  await permits.acquire(request);
  const other = await permits.acquire({...request, store: 'other'});
  expect(other.permit).to.be.a('string');
});

it('permit manager: a load that would miss its deadline is refused at once', async () => {
  const permits = createManager();
  await permits.acquire(request);
  const late = await permits.acquire({...request, model: 'b@v1', usefulMs: 1});
  expect(late.refusal?.reason).to.equal('too-late');
  expect(late.refusal?.retryAfterMs).to.be.greaterThan(0);
});

it('permit manager: the first-come order also refuses loads that would be late', async () => {
  const permits = createManager('first-come');
  await permits.acquire(request);
  const late = await permits.acquire({...request, model: 'b@v1', usefulMs: 1});
  expect(late.refusal?.reason).to.equal('too-late');
});

it('permit manager: a timed-out request returns the predicted wait', async () => {
  const permits = createManager('first-come');
  await permits.acquire(request);
  const none = await permits.acquire({...request, model: 'b@v1', waitMs: 0});
  expect(none.permit).to.equal(undefined);
  expect(none.predictedWaitMs).to.be.a('number');
});

it('permit manager: a permit for a model that its agent no longer loads is released at once', async () => {
  const permits = createManager();
  await permits.acquire(request);
  const next = permits.acquire({...request, agent: 'other'});
  permits.reconcile('agent', [], performance.now() + REPORT_DELAY_MS);
  expect((await next).permit).to.be.a('string');
});

it('permit manager: a permit is kept while its agent loads or if it was just granted', async () => {
  const permits = createManager();
  const {permit} = await permits.acquire(request);
  permits.reconcile('agent', ['a@v1'], performance.now() + REPORT_DELAY_MS);
  permits.reconcile('agent', [], performance.now());
  permits.reconcile('other', [], performance.now() + REPORT_DELAY_MS);
  expect((await permits.acquire(request)).permit).to.equal(permit);
});

it('permit manager: overload is decided by the policy of each store', async () => {
  const permits = new PermitManager({
    loadsAtOnce: 1,
    validMs: 60_000,
    policyOf: store => ({
      loadOrder: 'first-come',
      overloadAfterMs: store === 'hasty' ? 0 : 60_000,
      overloadPatience: 0.05,
    }),
  });
  const load = {...request, usefulMs: 2_000};
  await permits.acquire({...load, store: 'hasty'});
  const hasty = await permits.acquire({...load, store: 'hasty', model: 'b@v1'});
  expect(hasty.refusal?.reason).to.equal('too-late');
  const first = await permits.acquire(load);
  const second = permits.acquire({...load, model: 'b@v1'});
  permits.release(first.permit!, 'loaded');
  expect((await second).permit).to.be.a('string');
});
