import {expect} from 'chai';
import {PermitManager} from '@marigoldspur/load-permits';

const LONGER_THAN_REPORT_DELAY_MS = 2_000;
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
  const manager = createManager();
  const first = await manager.acquire(request);
  const second = manager.acquire({...request, model: 'b@v1'});
  manager.release(first.permit!, 'loaded');
  expect((await second).permit).to.be.a('string');
});

it('permit manager: an agent that lost the answer receives the same permit again', async () => {
  const manager = createManager();
  const first = await manager.acquire(request);
  expect((await manager.acquire(request)).permit).to.equal(first.permit);
});

it('permit manager: stores are independent of each other', async () => {
  const manager = createManager();
  await manager.acquire(request);
  const other = await manager.acquire({...request, store: 'other'});
  expect(other.permit).to.be.a('string');
});

it('permit manager: a load that would miss its deadline is refused at once', async () => {
  const manager = createManager();
  await manager.acquire(request);
  const late = await manager.acquire({...request, model: 'b@v1', usefulMs: 1});
  expect(late.refusal?.reason).to.equal('too-late');
  expect(late.refusal?.retryAfterMs).to.be.greaterThan(0);
});

it('permit manager: the first-come order also refuses loads that would be late', async () => {
  const manager = createManager('first-come');
  await manager.acquire(request);
  const late = await manager.acquire({...request, model: 'b@v1', usefulMs: 1});
  expect(late.refusal?.reason).to.equal('too-late');
});

it('permit manager: a timed-out request returns the predicted wait', async () => {
  const manager = createManager('first-come');
  await manager.acquire(request);
  const none = await manager.acquire({...request, model: 'b@v1', waitMs: 0});
  expect(none.permit).to.equal(undefined);
  expect(none.predictedWaitMs).to.be.a('number');
});

it('permit manager: a permit for a model that its agent no longer loads is released at once', async () => {
  const manager = createManager();
  await manager.acquire(request);
  const next = manager.acquire({...request, agent: 'other'});
  manager.reconcile(
    'agent',
    [],
    performance.now() + LONGER_THAN_REPORT_DELAY_MS,
  );
  expect((await next).permit).to.be.a('string');
});

it('permit manager: a permit is kept if its agent reports the load, or if it was just granted', async () => {
  const manager = createManager();
  const {permit} = await manager.acquire(request);
  manager.reconcile(
    'agent',
    ['a@v1'],
    performance.now() + LONGER_THAN_REPORT_DELAY_MS,
  );
  manager.reconcile('agent', [], performance.now());
  manager.reconcile(
    'other',
    [],
    performance.now() + LONGER_THAN_REPORT_DELAY_MS,
  );
  expect((await manager.acquire(request)).permit).to.equal(permit);
});

it('permit manager: overload is decided by the policy of each store', async () => {
  const manager = new PermitManager({
    loadsAtOnce: 1,
    validMs: 60_000,
    policyOf: store => ({
      loadOrder: 'first-come',
      overloadAfterMs: store === 'hasty' ? 0 : 60_000,
      overloadPatience: 0.05,
    }),
  });
  const load = {...request, usefulMs: 2_000};
  await manager.acquire({...load, store: 'hasty'});
  const hasty = await manager.acquire({...load, store: 'hasty', model: 'b@v1'});
  expect(hasty.refusal?.reason).to.equal('too-late');
  const first = await manager.acquire(load);
  const second = manager.acquire({...load, model: 'b@v1'});
  manager.release(first.permit!, 'loaded');
  expect((await second).permit).to.be.a('string');
});
