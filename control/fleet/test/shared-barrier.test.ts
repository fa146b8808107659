import {expect} from 'chai';
import {SharedBarrier} from '@marigoldspur/fleet';

const INTERVAL_MS = 40;
const WAIT_TIMEOUT_MS = 1_500;

/** Start times of the barriers that ran. */
let starts: number[];
let finish: Array<() => void>;
let barrier: SharedBarrier<number>;

beforeEach(() => {
  starts = [];
  finish = [];
  barrier = new SharedBarrier({
    run: () => {
      const number = starts.push(performance.now());
      return new Promise<number>(resolve => finish.push(() => resolve(number)));
    },
    intervalMs: INTERVAL_MS,
  });
});

function request(): Promise<number> {
  return barrier.request(performance.now());
}

/** Resolves once `count` barriers have started. */
async function untilStarted(count: number): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (starts.length < count) {
    if (performance.now() > deadline) {
      throw new Error(`${starts.length} of ${count} barriers started`);
    }
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}

it('shared barrier: requests that wait together share one barrier', async () => {
  const results = Promise.all(Array.from({length: 100}, request));
  await untilStarted(1);
  finish[0]();
  expect(new Set(await results)).to.deep.equal(new Set([1]));
  expect(starts).to.have.length(1);
});

it('shared barrier: a request never gets the result of a barrier that started before it arrived', async () => {
  const first = request();
  await untilStarted(1);
  const second = request();
  finish[0]();
  expect(await first).to.equal(1);
  await untilStarted(2);
  finish[1]();
  expect(await second).to.equal(2);
});

it('shared barrier: a barrier that hangs does not hold up later requests, which start at most one per interval', async () => {
  const requests = [];
  for (let count = 1; count <= 5; count += 1) {
    requests.push(request(), request());
    await untilStarted(count);
  }
  finish.slice(1).forEach(end => end());
  expect(await Promise.all(requests.slice(2))).to.deep.equal([
    2, 2, 3, 3, 4, 4, 5, 5,
  ]);
  for (let index = 1; index < starts.length; index += 1) {
    const sinceMs = starts[index] - starts[index - 1];
    expect(sinceMs).to.be.at.least(INTERVAL_MS);
  }
});
