import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {
  compareReports,
  generateTrace,
  readWorkload,
  renderReportPage,
  runBound,
  runExperiment,
  runTrace,
  type Workload,
} from '@marigoldspur/experiment';

const CALLAO_FILE = path.resolve(
  import.meta.dirname,
  '../../workloads/callao.yaml',
);
const SEED = 1;

async function readShortWorkload(): Promise<Workload> {
  const result = await readWorkload(CALLAO_FILE);
  if (result.isErr) {
    throw result.error;
  }
  return {
    ...result.value,
    warmUpSeconds: 60,
    measuredSeconds: 60,
    seeds: [SEED],
  };
}

function findPolicy(workload: Workload, name: string) {
  return workload.policies.find(policy => policy.name === name)!;
}

it('experiment: the same seed gives the same trace and figures', async () => {
  const workload = await readShortWorkload();
  const scenario = workload.scenarios.find(({name}) => name === 'restart')!;
  const run = () => {
    const policy = findPolicy(workload, 'demand-aware');
    const trace = generateTrace(workload, scenario, 7, SEED);
    return runTrace(trace, {workload, scenario, policy, seed: SEED});
  };
  expect(run()).to.deep.equal(run());
});

it('experiment: each request is counted exactly once, even under faults', async () => {
  const workload = await readShortWorkload();
  const policy = findPolicy(workload, 'demand-aware');
  const longerWorkload = {...workload, measuredSeconds: 150};
  const measuredFromMs = longerWorkload.warmUpSeconds * 1_000;
  const lastArrivalMs =
    measuredFromMs + (longerWorkload.measuredSeconds - 20) * 1_000;
  for (const scenario of workload.scenarios) {
    const trace = generateTrace(longerWorkload, scenario, 5, SEED).filter(
      ({at}) => at < lastArrivalMs,
    );
    const expectedRequests = trace.filter(
      ({at}) => at >= measuredFromMs,
    ).length;
    const options = {workload: longerWorkload, scenario, policy, seed: SEED};
    const figures = runTrace(trace, options);
    expect(figures.requests, scenario.name).to.equal(expectedRequests);
  }
});

it('experiment: the bound has a lower mean stall than any policy', async () => {
  const workload = await readShortWorkload();
  const scenario = {name: 'calm', disturbances: []};
  const trace = generateTrace(workload, scenario, 6, SEED);
  const bound = runBound(trace, {workload, disturbances: [], seed: SEED});
  for (const policy of workload.policies) {
    const run = runTrace(trace, {workload, scenario, policy, seed: SEED});
    expect(run.meanStallMs, policy.name).to.be.greaterThan(bound.meanStallMs);
  }
});

it('experiment: all errors of a workload file are reported together', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-'));
  const file = path.join(folder, 'bad.yaml');
  await writeFile(file, 'name: 1\nskew: steep\n');
  const result = await readWorkload(file);
  const message = result.isErr ? result.error.message : '';
  expect(message).to.include('name').and.include('skew');
});

it('experiment: a report equals itself, differs at another load and renders as a page', async () => {
  const workload = await readShortWorkload();
  const selection = {
    scenarios: ['calm'],
    policies: ['hash-home+lru', 'demand-aware'],
    loads: [1],
  };
  const report = runExperiment(workload, selection);
  expect(report.rows).to.have.length(2);
  expect(compareReports(report, report)).to.deep.equal([]);
  const doubledLoad = runExperiment(workload, {...selection, loads: [2]});
  const relabeled = {
    ...doubledLoad,
    rows: doubledLoad.rows.map(row => ({...row, load: 1})),
  };
  expect(compareReports(report, relabeled)).to.not.have.length(0);
  expect(await renderReportPage(report)).to.include('<svg');
});

it('experiment: prefetching new versions stalls fewer requests', async () => {
  const workload = {...(await readShortWorkload()), measuredSeconds: 240};
  const scenario = workload.scenarios.find(
    ({name}) => name === 'new-versions',
  )!;
  const trace = generateTrace(workload, scenario, workload.kneeRate / 2, SEED);
  const measureStalledShare = (hasPrefetch: boolean) => {
    const policy = {
      ...findPolicy(workload, 'demand-aware'),
      prefetch: hasPrefetch,
    };
    const options = {workload, scenario, policy, seed: SEED};
    return runTrace(trace, options).stalledShare;
  };
  expect(measureStalledShare(true)).to.be.lessThan(measureStalledShare(false));
});
