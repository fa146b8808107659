import {expect} from 'chai';
import type {Fault} from '@marigoldspur/faults';
import {guard} from '@marigoldspur/fault-guard';

async function faultsOf(handler: () => unknown): Promise<string[]> {
  const faults: string[] = [];
  guard(handler, {onFault: (fault: Fault) => faults.push(fault.message)})();
  await new Promise(resolve => setImmediate(resolve));
  return faults;
}

it('guard: a thrown error is passed on', async () => {
  const faults = await faultsOf(() => {
    throw new Error('bad status');
  });
  expect(faults).to.deep.equal(['bad status']);
});

it('guard: a rejection is passed on', async () => {
  const faults = await faultsOf(() => Promise.reject(new Error('bad header')));
  expect(faults).to.deep.equal(['bad header']);
});

it('guard: a handler without an error reports none', async () => {
  expect(await faultsOf(() => Promise.resolve(1))).to.deep.equal([]);
});
