import {once} from 'node:events';
import {expect} from 'chai';
import {BoundedSignal} from '@marigoldspur/abort-signals';

it('bounded signal: aborts when a parent signal aborts', () => {
  const first = new AbortController();
  const second = new AbortController();
  const bounded = new BoundedSignal({
    parentSignals: [first.signal, second.signal],
  });
  expect(bounded.signal.aborted).to.equal(false);
  second.abort();
  expect(bounded.signal.aborted).to.equal(true);
  expect(bounded.hasTimedOut).to.equal(false);
});

it('bounded signal: is aborted from the start if a parent signal is aborted', () => {
  const bounded = new BoundedSignal({parentSignals: [AbortSignal.abort()]});
  expect(bounded.signal.aborted).to.equal(true);
});

it('bounded signal: aborts when its timeout expires', async () => {
  const bounded = new BoundedSignal({timeoutMs: 1});
  await once(bounded.signal, 'abort');
  expect(bounded.hasTimedOut).to.equal(true);
});

it('bounded signal: does not abort after it was disposed', async () => {
  const first = new AbortController();
  const bounded = new BoundedSignal({
    timeoutMs: 1,
    parentSignals: [first.signal],
  });
  bounded.dispose();
  first.abort();
  const later = new BoundedSignal({timeoutMs: 5});
  await once(later.signal, 'abort');
  expect(bounded.signal.aborted).to.equal(false);
});
