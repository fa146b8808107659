import {expect} from 'chai';
import {MemoryWait} from '../src/memory-wait.js';

/** Waits for memory that is there after a number of checks; resolves to what was called. */
function waitFor(checks: number): Promise<string> {
  let checked = 0;
  return new Promise(resolve => {
    const wait = new MemoryWait({
      hasMemory: () => (checked += 1) > checks,
      onMemory: () => resolve(`memory, waiting: ${wait.isWaiting}`),
      onTimeout: () => resolve(`timeout, waiting: ${wait.isWaiting}`),
    });
    wait.start(performance.now());
  });
}

it('memory wait: it ends as soon as there is memory', async () => {
  expect(await waitFor(2)).to.equal('memory, waiting: false');
});

it('memory wait: it ends without memory after its time', async () => {
  expect(await waitFor(Infinity)).to.equal('timeout, waiting: false');
});

it('memory wait: nothing is called after it was stopped', async () => {
  const calls: string[] = [];
  const stopped = new MemoryWait({
    hasMemory: () => true,
    onMemory: () => calls.push('memory'),
    onTimeout: () => calls.push('timeout'),
  });
  stopped.start(performance.now());
  stopped.stop();
  await waitFor(2);
  expect(calls).to.deep.equal([]);
  expect(stopped.isWaiting).to.equal(false);
});
