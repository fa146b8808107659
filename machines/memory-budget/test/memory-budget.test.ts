import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
  MemoryBudget,
  MemoryLimit,
  RefusalSpell,
  registerBudgetMetrics,
  ReturnSchedule,
} from '@marigoldspur/memory-budget';

const MAX_BYTES = 1_000_000;
const LARGE_BYTES = 200_000;

let heard: string[];
let budget: MemoryBudget;

beforeEach(() => {
  heard = [];
  budget = new MemoryBudget({
    limit: {maxBytes: () => MAX_BYTES},
    heapBytes: () => 0,
    listener: {
      onFull: (kind, bytes) => heard.push(`full ${kind} ${bytes}`),
      onRoom: refusals => heard.push(`room ${refusals}`),
    },
  });
});

it('memory budget: what was reserved can be reserved again once it is released', () => {
  const reservations = [1, 2, 3].map(() => budget.reserve('a', LARGE_BYTES));
  expect(budget.reserve('b', LARGE_BYTES)).to.equal(undefined);
  reservations[0]?.release();
  reservations[0]?.release();
  expect(budget.reserve('b', LARGE_BYTES)).to.not.equal(undefined);
  expect(budget.occupancy.heldBytes).to.equal(3 * LARGE_BYTES);
});

it('memory budget: large reservations leave room for small ones', () => {
  while (budget.reserve('large', LARGE_BYTES) !== undefined);
  expect(budget.reserve('small', 60_000)).to.not.equal(undefined);
  while (budget.reserve('small', 60_000) !== undefined);
  expect(budget.occupancy.heldBytes).to.be.at.most(MAX_BYTES);
});

// Guards against calls without a body that are refused because large bodies were admitted before
// the heap grew.
it('memory budget: large reservations leave room for small ones although the heap grows', () => {
  const limit = new MemoryLimit({
    memoryBytes: 350_000_000,
    connectionBytes: 87_500_000,
  });
  let heapBytes = 40_000_000;
  budget = new MemoryBudget({limit, heapBytes: () => heapBytes});
  while (budget.reserve('large', 4_194_304) !== undefined);
  heapBytes += 50_000_000;
  expect(budget.reserve('small', 4_096)).to.not.equal(undefined);
});

it('memory budget: calls in progress leave room for small calls while large bodies are held', () => {
  const limit = new MemoryLimit({
    memoryBytes: 350_000_000,
    connectionBytes: 87_500_000,
  });
  let heapBytes = 40_000_000;
  budget = new MemoryBudget({
    limit,
    heapBytes: () => heapBytes,
    maxBytesByHeapKind: new Map([['call', 57_000_000]]),
  });
  while (budget.reserve('large', 4_194_304) !== undefined);
  for (let call = 0; call < 1_500; call += 1) {
    expect(budget.reserve('call', 16_384)).to.not.equal(undefined);
  }
  heapBytes += 50_000_000;
  expect(budget.reserve('call', 16_384)).to.not.equal(undefined);
  expect(budget.reserve('small', 4_096)).to.not.equal(undefined);
});

it('memory budget: a reservation that grows by small steps is limited as a large one', () => {
  const reservation = budget.reserve('a', 0)!;
  let size = 0;
  while (reservation.resize(size + 10_000)) {
    size += 10_000;
  }
  expect(size).to.equal(MAX_BYTES * 0.75);
  expect(reservation.bytes).to.equal(size);
  expect(reservation.resize(10)).to.equal(true);
  expect(budget.occupancy.heldBytes).to.equal(10);
});

it('memory budget: a kind with a maximum of its own leaves the rest to others', () => {
  budget = new MemoryBudget({
    limit: {maxBytes: () => MAX_BYTES},
    heapBytes: () => 0,
    maxBytesByHeapKind: new Map([['call', 100]]),
  });
  expect(budget.reserve('call', 60)).to.not.equal(undefined);
  expect(budget.reserve('call', 60)).to.equal(undefined);
  expect(budget.reserve('body', 60)).to.not.equal(undefined);
});

it('memory budget: a released reservation cannot grow', () => {
  const reservation = budget.reserve('a', 10)!;
  reservation.release();
  expect(reservation.resize(20)).to.equal(false);
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('memory budget: the first refusal and the end of refusals are reported once', () => {
  const first = budget.reserve('a', 3 * LARGE_BYTES);
  budget.reserve('b', LARGE_BYTES);
  budget.reserve('b', LARGE_BYTES);
  budget.reserve('b', 10);
  expect(heard).to.deep.equal([`full b ${LARGE_BYTES}`]);
  first?.release();
  budget.reserve('b', LARGE_BYTES);
  budget.reserve('b', LARGE_BYTES);
  expect(heard).to.deep.equal([`full b ${LARGE_BYTES}`, 'room 2']);
});

it('memory budget: metrics state the bytes by kind, the limit and the refusals', async () => {
  const registry = new Registry();
  registerBudgetMetrics(registry, budget);
  budget.reserve('body', LARGE_BYTES);
  budget.reserve('body', MAX_BYTES);
  const text = await registry.metrics();
  expect(text).to.contain(
    `marigoldspur_buffered_bytes{kind="body"} ${LARGE_BYTES}`,
  );
  expect(text).to.contain(`marigoldspur_buffered_bytes_limit ${MAX_BYTES}`);
  expect(text).to.contain('marigoldspur_buffer_refusals{kind="body"} 1');
});

it('memory limit: a growing heap leaves less to buffer, down to a tenth of the memory', () => {
  const limit = new MemoryLimit({
    memoryBytes: 350_000_000,
    connectionBytes: 40_000_000,
  });
  const small = limit.maxBytes(50_000_000);
  expect(limit.maxBytes(100_000_000)).to.equal(small - 50_000_000);
  expect(limit.maxBytes(340_000_000)).to.equal(35_000_000);
});

it('return schedule: callers refused together come back one budget a second, in their order', () => {
  const schedule = new ReturnSchedule();
  const delays = Array.from({length: 10}, () =>
    schedule.delaySeconds(LARGE_BYTES, MAX_BYTES, 5_000),
  );
  expect(delays).to.deep.equal([
    0.7, 0.9, 1.1, 1.3, 1.5, 1.7, 1.9, 2.1, 2.3, 2.5,
  ]);
  expect(schedule.delaySeconds(LARGE_BYTES, MAX_BYTES, 60_000)).to.equal(0.7);
});

it('refusal spell: refusals are reported once until there were none for ten seconds', () => {
  let begun = 0;
  const spell = new RefusalSpell(() => (begun += 1));
  [0, 1, 9_000, 18_000].forEach(now => spell.recordRefusal(now));
  expect(begun).to.equal(1);
  spell.recordRefusal(28_001);
  expect(begun).to.equal(2);
});
