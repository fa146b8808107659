import {expect} from 'chai';
import {runHistory, type HistoryOptions} from '@marigoldspur/control-history';

const BASE = {replicas: 3, operators: 4, operationsEach: 40};
const RUN_TIMEOUT_MS = 240_000;

async function check(options: Omit<HistoryOptions, keyof typeof BASE>) {
  const report = await runHistory({...BASE, ...options});
  expect(report.verdict.exhausted).to.equal(false);
  expect(report.verdict.linearizable).to.equal(true);
  expect(report.accepted).to.be.greaterThan(0);
}

it('history: operators’ races and resends are linearizable over kills', async () => {
  await check({fault: 'kill', faults: 4, seed: 1});
}).timeout(RUN_TIMEOUT_MS);

it('history: they are over a frozen and thawed replica', async () => {
  await check({fault: 'freeze', faults: 2, seed: 2});
}).timeout(RUN_TIMEOUT_MS);

it('history: they are over silent cuts', async () => {
  await check({fault: 'cut', faults: 2, seed: 3});
}).timeout(RUN_TIMEOUT_MS);
