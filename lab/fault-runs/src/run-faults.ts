import {setTimeout as delay} from 'node:timers/promises';
import {
  checkHistory,
  History,
  type HistoryLine,
  type Violation,
} from '@marigoldspur/history';
import {
  createDeploymentTree,
  startSystem,
  type Deployment,
  type System,
} from '@marigoldspur/lab';
import {submitChange} from '@marigoldspur/operator-commands';
import type {SettingsTree} from '@marigoldspur/settings-schema';
import {Caller} from './caller.js';
import {collectRecord, countRunningRequests} from './target-record.js';
import {
  collectAttemptLines,
  collectInForceLines,
  collectRetryLines,
} from './event-log-lines.js';
import {CutNetwork} from './cut-network.js';
import {SystemFaultInjector} from './system-fault-injector.js';
import {isCut, planFaults, type FaultKind} from './fault-plan.js';
import {planLoad} from './load-plan.js';
import {Random} from './random.js';
import {summarize, type Summary} from './summary.js';

/** Options of a run under faults. */
export interface FaultRunOptions {
  readonly seed: number;
  /** Kinds of the faults to inject. */
  readonly kinds: readonly FaultKind[];
  readonly requestsPerSecond: number;
  /** Duration of the load. */
  readonly seconds: number;
  /** Settings at the root of the tree; the defaults apply to those not given. */
  readonly settings?: SettingsTree['settings'];
  /** How long links stay cut, in milliseconds; random by default, as for other faults. */
  readonly cutMs?: number;
  /** How long engines keep a broken stream for resumption, in milliseconds; 0 disables resumption. */
  readonly resumeMs?: number;
}

/** Result of a run under faults. */
export interface FaultRun {
  readonly history: History;
  readonly violations: readonly Violation[];
  readonly summary: Summary;
}

const CUSTOMER = 'callao';
const SERVICE = 'chart-api';
const ADAPTER_COUNT = 8;
const CONTROL_COUNT = 3;
const ENTRY_COUNT = 2;
const FIRST_TOKEN_MS = 20;
const TOKEN_MS = 20;
/** Long enough for faults to hit calls while they run. */
const SERVICE_CALL_MS = 300;
const WARM_UP_MS = 1_000;
const SETTINGS_CHANGE_INTERVAL_MS = 1_500;
const IDLE_CHECK_DELAY_MS = 1_500;
const IDLE_POLL_MS = 100;
const IDLE_TIMEOUT_MS = 15_000;
const DEPLOYMENT: Deployment = {
  customer: CUSTOMER,
  zones: ['lima-a', 'lima-b', 'lima-c'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 3},
    {service: SERVICE, kind: 'service', count: 2},
  ],
  loadsPerSecond: 50,
};

/** Runs load and faults on a system of real processes and checks the recorded history. */
export async function runFaults(options: FaultRunOptions): Promise<FaultRun> {
  const lines: HistoryLine[] = [];
  const record = (line: HistoryLine) => void lines.push(line);
  const network = options.kinds.some(isCut) ? new CutNetwork() : undefined;
  const system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createSettingsTree(options),
    controls: CONTROL_COUNT,
    entries: ENTRY_COUNT,
    zones: DEPLOYMENT.zones,
    network,
    // Attempts, which the history needs, are logged at the level `debug` only.
    logLevel: 'debug',
    firstTokenMs: FIRST_TOKEN_MS,
    tokenMs: TOKEN_MS,
    serviceCallMs: SERVICE_CALL_MS,
    resumeMs: options.resumeMs,
  });
  const injector = new SystemFaultInjector({system, record, network});
  try {
    await system.waitUntilSettled();
    recordStarts(system, record);
    await delay(WARM_UP_MS);
    await runLoadAndFaults(system, injector, options, record);
    await waitUntilIdle(system);
    lines.push(...(await collectHistoryLines(system, injector)));
    record({line: 'end', at: Date.now()});
  } finally {
    await injector.stop();
    await system.stop();
    await network?.close();
  }
  const history = new History(lines);
  const violations = checkHistory(history);
  return {history, violations, summary: summarize(history)};
}

function createSettingsTree({settings = {}}: FaultRunOptions): SettingsTree {
  return {...createDeploymentTree([DEPLOYMENT], ADAPTER_COUNT), settings};
}

async function runLoadAndFaults(
  system: System,
  injector: SystemFaultInjector,
  options: FaultRunOptions,
  record: (line: HistoryLine) => void,
): Promise<void> {
  const random = new Random(options.seed);
  const models = Array.from(
    {length: ADAPTER_COUNT},
    (_, index) => `${CUSTOMER}-${index}@v1`,
  );
  const load = planLoad({...options, models}, random);
  const faults = planFaults(options.kinds, random, options.cutMs);
  const caller = new Caller({
    url: system.balancerUrl,
    service: SERVICE,
    record,
  });
  await Promise.all([
    ...load.map(async request => {
      await delay(request.atMs);
      await caller.send(request);
    }),
    ...faults.map(fault => injector.inject(fault)),
    changeSettings(system, options.seconds * 1_000, record),
  ]);
}

/** Changes the settings at a fixed interval, as an operator would. */
async function changeSettings(
  system: System,
  durationMs: number,
  record: (line: HistoryLine) => void,
): Promise<void> {
  const end = performance.now() + durationMs;
  for (let value = 2_000; performance.now() < end; value += 1) {
    await delay(SETTINGS_CHANGE_INTERVAL_MS);
    const changed = await submitChange(
      system.session,
      [{edit: 'set', path: `/${CUSTOMER}`, setting: 'queueLimit', value}],
      {author: 'fault-runs'},
    );
    if (changed.isOk && changed.value.outcome === 'accepted') {
      const {revision} = changed.value;
      record({line: 'accepted', revision, at: Date.now()});
    }
  }
}

function recordStarts(
  system: System,
  record: (line: HistoryLine) => void,
): void {
  const children = [
    ...system.entries,
    ...system.targets.map(pair => pair.agent),
  ];
  for (const {name} of children) {
    record({line: 'process', process: name, state: 'started', at: Date.now()});
  }
}

/** Waits until no target runs a request, including those that a resumed process may still send; stops waiting after `IDLE_TIMEOUT_MS`. */
async function waitUntilIdle(system: System): Promise<void> {
  await delay(IDLE_CHECK_DELAY_MS);
  const end = performance.now() + IDLE_TIMEOUT_MS;
  while (performance.now() < end) {
    const running = await Promise.all(
      system.targets.map(pair => countRunningRequests(pair.url)),
    );
    if (running.every(count => count === 0)) {
      return;
    }
    await delay(IDLE_POLL_MS);
  }
}

async function collectHistoryLines(
  system: System,
  injector: SystemFaultInjector,
): Promise<HistoryLine[]> {
  const records = await Promise.all(
    system.targets.map(pair => collectRecord(pair)),
  );
  const inForce = (['entry', 'agent'] as const).flatMap(role =>
    injector
      .incarnationsOf(role)
      .flatMap((child, incarnation) => collectInForceLines(child, incarnation)),
  );
  const entries = injector.incarnationsOf('entry');
  const attempts = entries.flatMap(collectAttemptLines);
  const retries = entries.flatMap(collectRetryLines);
  return [...records.flat(), ...inForce, ...attempts, ...retries];
}
