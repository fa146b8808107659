import {expect} from 'chai';
import {
  runOperators,
  type OperatorRunOptions,
} from '@marigoldspur/linearizability-check';

const COMMON_OPTIONS = {replicas: 3, operators: 4, operationsEach: 40};
const RUN_TIMEOUT_MS = 240_000;

async function expectLinearizable(
  options: Omit<OperatorRunOptions, keyof typeof COMMON_OPTIONS>,
) {
  const report = await runOperators({...COMMON_OPTIONS, ...options});
  expect(report.verdict.exhausted).to.equal(false);
  expect(report.verdict.linearizable).to.equal(true);
  expect(report.accepted).to.be.greaterThan(0);
}

it('operators: concurrent changes and resends are linearizable when replicas are killed', async () => {
  await expectLinearizable({fault: 'kill', faults: 4, seed: 1});
}).timeout(RUN_TIMEOUT_MS);

it('operators: concurrent changes and resends are linearizable when replicas freeze and resume', async () => {
  await expectLinearizable({fault: 'freeze', faults: 2, seed: 2});
}).timeout(RUN_TIMEOUT_MS);

it('operators: concurrent changes and resends are linearizable when links are silently cut', async () => {
  await expectLinearizable({fault: 'cut', faults: 2, seed: 3});
}).timeout(RUN_TIMEOUT_MS);
