import {setTimeout as pause} from 'node:timers/promises';
import {
  checkHistory,
  History,
  type HistoryLine,
  type Violation,
} from '@marigoldspur/history';
import {
  deploymentTree,
  startSystem,
  type Deployment,
  type System,
} from '@marigoldspur/lab';
import {submitChange} from '@marigoldspur/operator-commands';
import type {SettingsTree} from '@marigoldspur/settings-schema';
import {Caller} from './caller.js';
import {collectRecord, runningAt} from './collect-record.js';
import {attemptLines, inForceLines, retryLines} from './event-lines.js';
import {CutNetwork} from './cut-network.js';
import {FaultInjector} from './fault-injector.js';
import {isCut, planFaults, type FaultKind} from './fault-plan.js';
import {planLoad} from './load-plan.js';
import {Random} from './random.js';
import {summarise, type Summary} from './summary.js';

/** Options of a run under faults. */
export interface FaultRunOptions {
  readonly seed: number;
  readonly kinds: readonly FaultKind[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** Settings at the top of the tree; defaults where they are not given. */
  readonly settings?: SettingsTree['settings'];
  /** How long links stay cut, in milliseconds; drawn like other faults where it is not given. */
  readonly cutMs?: number;
  /** How long engines keep a broken stream, in milliseconds; 0 for not at all. */
  readonly resumeMs?: number;
}

/** What a run under faults showed. */
export interface FaultRun {
  readonly history: History;
  readonly violations: readonly Violation[];
  readonly summary: Summary;
}

const CUSTOMER = 'callao';
const SERVICE = 'chart-api';
const ADAPTERS = 8;
const CONTROLS = 3;
const ENTRIES = 2;
const FIRST_TOKEN_MS = 20;
const TOKEN_MS = 20;
/** Long enough for faults to hit running calls. */
const SERVICE_CALL_MS = 300;
const WARM_UP_MS = 1_000;
const CHANGE_MS = 1_500;
const QUIET_MS = 1_500;
const QUIET_POLL_MS = 100;
const QUIET_LIMIT_MS = 15_000;
const DEPLOYMENT: Deployment = {
  customer: CUSTOMER,
  zones: ['lima-a', 'lima-b', 'lima-c'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 3},
    {service: SERVICE, kind: 'service', count: 2},
  ],
  loadsPerSecond: 50,
};

/** Runs load and faults on a system of processes and checks its history. */
export async function runFaults(options: FaultRunOptions): Promise<FaultRun> {
  const lines: HistoryLine[] = [];
  const record = (line: HistoryLine) => void lines.push(line);
  const network = options.kinds.some(isCut) ? new CutNetwork() : undefined;
  const system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: treeFor(options),
    controls: CONTROLS,
    entries: ENTRIES,
    zones: DEPLOYMENT.zones,
    network,
    // Attempts are logged for debugging only.
    logLevel: 'debug',
    firstTokenMs: FIRST_TOKEN_MS,
    tokenMs: TOKEN_MS,
    serviceCallMs: SERVICE_CALL_MS,
    resumeMs: options.resumeMs,
  });
  const injector = new FaultInjector({system, record, network});
  try {
    await system.settled();
    noteProcesses(system, record);
    await pause(WARM_UP_MS);
    await loadUnderFaults(system, injector, options, record);
    await untilQuiet(system);
    lines.push(...(await collectAll(system, injector)));
    record({line: 'end', at: Date.now()});
  } finally {
    await injector.stop();
    await system.stop();
    await network?.close();
  }
  const history = new History(lines);
  const violations = checkHistory(history);
  return {history, violations, summary: summarise(history)};
}

function treeFor({settings = {}}: FaultRunOptions): SettingsTree {
  return {...deploymentTree([DEPLOYMENT], ADAPTERS), settings};
}

async function loadUnderFaults(
  system: System,
  injector: FaultInjector,
  options: FaultRunOptions,
  record: (line: HistoryLine) => void,
): Promise<void> {
  const random = new Random(options.seed);
  const models = Array.from(
    {length: ADAPTERS},
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
      await pause(request.atMs);
      await caller.send(request);
    }),
    ...faults.map(fault => injector.inject(fault)),
    changeSettings(system, options.seconds * 1_000, record),
  ]);
}

/** Changes the settings at a steady pace, as operators do. */
async function changeSettings(
  system: System,
  durationMs: number,
  record: (line: HistoryLine) => void,
): Promise<void> {
  const end = performance.now() + durationMs;
  for (let value = 2_000; performance.now() < end; value += 1) {
    await pause(CHANGE_MS);
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

function noteProcesses(
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

/** Waits until no target runs anything, also what a thawed process may still send. */
async function untilQuiet(system: System): Promise<void> {
  await pause(QUIET_MS);
  const end = performance.now() + QUIET_LIMIT_MS;
  while (performance.now() < end) {
    const running = await Promise.all(
      system.targets.map(pair => runningAt(pair.url)),
    );
    if (running.every(count => count === 0)) {
      return;
    }
    await pause(QUIET_POLL_MS);
  }
}

async function collectAll(
  system: System,
  injector: FaultInjector,
): Promise<HistoryLine[]> {
  const records = await Promise.all(
    system.targets.map(pair => collectRecord(pair)),
  );
  const inForce = (['entry', 'agent'] as const).flatMap(role =>
    injector.livesOf(role).flatMap((child, life) => inForceLines(child, life)),
  );
  const entries = injector.livesOf('entry');
  const attempts = entries.flatMap(attemptLines);
  const retries = entries.flatMap(retryLines);
  return [...records.flat(), ...inForce, ...attempts, ...retries];
}
