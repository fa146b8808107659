import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {
  compareReports,
  generateTrace,
  readWorkload,
  reportPage,
  runBound,
  runExperiment,
  runTrace,
  type Workload,
} from '@marigoldspur/experiment';

const CALLAO = path.resolve(import.meta.dirname, '../../workloads/callao.yaml');
const SEED = 1;

async function smallWorkload(): Promise<Workload> {
  const read = await readWorkload(CALLAO);
  if (read.isErr) {
    throw read.error;
  }
  return {...read.value, warmUpSeconds: 60, measuredSeconds: 60, seeds: [SEED]};
}

function policyOf(workload: Workload, name: string) {
  return workload.policies.find(policy => policy.name === name)!;
}

it('experiment: a seed gives the same trace and the same figures', async () => {
  const workload = await smallWorkload();
  const scenario = workload.scenarios.find(({name}) => name === 'restart')!;
  const run = () => {
    const policy = policyOf(workload, 'demand-aware');
    const trace = generateTrace(workload, scenario, 7, SEED);
    return runTrace(trace, {workload, scenario, policy, seed: SEED});
  };
  expect(run()).to.deep.equal(run());
});

it('experiment: each request is counted once, also under faults', async () => {
  const workload = await smallWorkload();
  const policy = policyOf(workload, 'demand-aware');
  const longer = {...workload, measuredSeconds: 150};
  const from = longer.warmUpSeconds * 1_000;
  const last = from + (longer.measuredSeconds - 20) * 1_000;
  for (const scenario of workload.scenarios) {
    const trace = generateTrace(longer, scenario, 5, SEED).filter(
      ({at}) => at < last,
    );
    const arrived = trace.filter(({at}) => at >= from).length;
    const options = {workload: longer, scenario, policy, seed: SEED};
    const figures = runTrace(trace, options);
    expect(figures.requests, scenario.name).to.equal(arrived);
  }
});

it('experiment: the bound stalls less than any policy', async () => {
  const workload = await smallWorkload();
  const scenario = {name: 'calm', disturbances: []};
  const trace = generateTrace(workload, scenario, 6, SEED);
  const bound = runBound(trace, {workload, disturbances: [], seed: SEED});
  for (const policy of workload.policies) {
    const run = runTrace(trace, {workload, scenario, policy, seed: SEED});
    expect(run.meanStallMs, policy.name).to.be.greaterThan(bound.meanStallMs);
  }
});

it('experiment: findings of a workload file are reported together', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-'));
  const file = path.join(folder, 'bad.yaml');
  await writeFile(file, 'name: 1\nskew: steep\n');
  const read = await readWorkload(file);
  const message = read.isErr ? read.error.message : '';
  expect(message).to.include('name').and.include('skew');
});

it('experiment: a report compares with itself and makes a page', async () => {
  const workload = await smallWorkload();
  const selection = {
    scenarios: ['calm'],
    policies: ['hash-home+lru', 'demand-aware'],
    loads: [1],
  };
  const report = runExperiment(workload, selection);
  expect(report.rows).to.have.length(2);
  expect(compareReports(report, report)).to.deep.equal([]);
  const doubled = runExperiment(workload, {...selection, loads: [2]});
  const relabelled = {
    ...doubled,
    rows: doubled.rows.map(row => ({...row, load: 1})),
  };
  expect(compareReports(report, relabelled)).to.not.have.length(0);
  expect(await reportPage(report)).to.include('<svg');
});

it('experiment: new versions loaded ahead stall fewer requests', async () => {
  const workload = {...(await smallWorkload()), measuredSeconds: 240};
  const scenario = workload.scenarios.find(
    ({name}) => name === 'new-versions',
  )!;
  const trace = generateTrace(workload, scenario, workload.kneeRate / 2, SEED);
  const stalled = (prefetch: boolean) => {
    const policy = {...policyOf(workload, 'demand-aware'), prefetch};
    const options = {workload, scenario, policy, seed: SEED};
    return runTrace(trace, options).stalledShare;
  };
  expect(stalled(true)).to.be.lessThan(stalled(false));
});
