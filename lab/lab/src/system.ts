import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  openSession,
  submitChange,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import type {Tree} from '@marigoldspur/settings-schema';
import {startChild, type Child} from './child.js';
import type {Deployment} from './deployments.js';
import {freePorts} from './ports.js';

/** Keys of a system, made by whoever starts it. */
export interface SystemKeys {
  /** Flags of control, entries and agents that name their certificate and key files. */
  readonly processFlags: readonly string[];
  /** Flags of entries that name the keys of callers. */
  readonly entryFlags: readonly string[];
  /** Certificate authority of the system, in PEM. */
  readonly ca: string;
  /** Token of an operator who may change settings. */
  readonly token: string;
}

/** Options of a system of processes on this machine. */
export interface SystemOptions {
  readonly deployments: readonly Deployment[];
  readonly tree: Tree;
  readonly controls: number;
  readonly entries: number;
  /** Time to the first token of an engine, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time between tokens of an engine, in milliseconds. */
  readonly tokenMs?: number;
  /** Time of one call of a plain service, in milliseconds. */
  readonly serviceCallMs?: number;
  /** The start of a process is known by an event of level `info`, so no higher one. */
  readonly logLevel?: 'debug' | 'info';
  /** Without keys the processes trust loopback. */
  readonly keys?: SystemKeys;
  /** Requests in one batch of an engine. */
  readonly batchLimit?: number;
}

/** A target with its agent. */
export interface TargetPair {
  readonly name: string;
  readonly url: string;
  readonly target: Child;
  readonly agent: Child;
}

/** A running system of processes. */
export interface System {
  readonly balancerUrl: string;
  readonly controlUrls: readonly string[];
  readonly entryUrls: readonly string[];
  readonly controls: readonly Child[];
  readonly entries: readonly Child[];
  readonly targets: readonly TargetPair[];
  readonly session: OperatorSession;
  /** Resolves once every target is known to control as healthy. */
  settled(): Promise<void>;
  stop(): Promise<void>;
}

const CONTROL = '@marigoldspur/control-server';
const ENTRY = '@marigoldspur/entry-server';
const AGENT = '@marigoldspur/agent-server';
const LAB = '@marigoldspur/lab';
const LOOPBACK = 'http://127.0.0.1';
const SESSION_TIMEOUT_MS = 30_000;
const SETTLE_POLL_MS = 100;
const ENGINE_SLOTS = 6;
const BATCH_LIMIT = 16;

/** Starts control, entries, a balancer, and targets with their agents as separate processes. */
export async function startSystem(options: SystemOptions): Promise<System> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-'));
  const flags = [
    ...['--log-level', options.logLevel ?? 'info'],
    ...(options.keys?.processFlags ?? []),
  ];
  const controls = await startControls(options, folder, flags);
  const control = controls.urls.join(',');
  const session = openSession(controls.urls, {
    timeoutMs: SESSION_TIMEOUT_MS,
    ca: options.keys?.ca,
    token: options.keys?.token,
  });
  const applied = await submitChange(
    session,
    [{edit: 'replace', value: options.tree}],
    {author: 'lab'},
  );
  if (applied.isErr || applied.value.outcome !== 'accepted') {
    throw new Error(
      `the settings were not accepted: ${JSON.stringify(applied)}`,
    );
  }
  const entries = await startEntries(options, control, flags);
  const targets: TargetPair[] = [];
  const stores: Child[] = [];
  for (const deployment of options.deployments) {
    const started = await startTargets(deployment, options, control, flags);
    targets.push(...started.targets);
    stores.push(started.store);
  }
  const [balancerPort] = await freePorts(1);
  const balancer = startChild('balancer', LAB, [
    'balancer',
    ...['--port', String(balancerPort)],
    ...['--entries', entries.callerUrls.join(',')],
  ]);
  await balancer.line(isReady);
  const children = [
    balancer,
    ...entries.children,
    ...targets.map(pair => pair.agent),
    ...controls.children,
    ...targets.map(pair => pair.target),
    ...stores,
  ];
  return {
    balancerUrl: `${LOOPBACK}:${balancerPort}`,
    controlUrls: controls.urls,
    entryUrls: entries.callerUrls,
    controls: controls.children,
    entries: entries.children,
    targets,
    session,
    settled: () => settled(session, targets.length),
    stop: async () => {
      session.close();
      children.forEach(child => child.signal('SIGKILL'));
      await Promise.all(children.map(child => child.ended));
      await rm(folder, {recursive: true, force: true});
    },
  };
}

async function startControls(
  options: SystemOptions,
  folder: string,
  flags: readonly string[],
) {
  const ports = await freePorts(options.controls);
  const scheme = options.keys === undefined ? 'http' : 'https';
  const urls = ports.map(port => `${scheme}://127.0.0.1:${port}`);
  const children = ports.map((port, index) =>
    startChild(`control-${index}`, CONTROL, [
      ...['--id', `control-${index}`],
      ...['--zone', `zone-${index}`],
      ...['--port', String(port)],
      ...['--peers', urls.join(',')],
      ...['--bootstrap', 'true'],
      ...['--data-folder', path.join(folder, `control-${index}`)],
      ...flags,
    ]),
  );
  await Promise.all(children.map(child => child.line(isStarted)));
  return {urls, children};
}

async function startEntries(
  options: SystemOptions,
  control: string,
  flags: readonly string[],
) {
  const ports = await freePorts(options.entries * 2);
  const callerPorts = ports.slice(0, options.entries);
  const children = callerPorts.map((port, index) =>
    startChild(`entry-${index}`, ENTRY, [
      ...['--id', `entry-${index}`],
      ...['--zone', `zone-${index}`],
      ...['--caller-port', String(port)],
      ...['--port', String(ports[options.entries + index])],
      ...['--control', control],
      ...flags,
      ...(options.keys?.entryFlags ?? []),
    ]),
  );
  await Promise.all(children.map(child => child.line(isStarted)));
  return {callerUrls: callerPorts.map(port => `${LOOPBACK}:${port}`), children};
}

async function startTargets(
  deployment: Deployment,
  options: SystemOptions,
  control: string,
  flags: readonly string[],
) {
  const count = deployment.targets.reduce((sum, group) => sum + group.count, 0);
  const [storePort, ...ports] = await freePorts(1 + count * 2);
  const store = startChild(`${deployment.customer}-store`, LAB, [
    'store',
    ...['--port', String(storePort)],
    ...['--loads-per-second', String(deployment.loadsPerSecond)],
  ]);
  await store.line(isReady);
  const targets: TargetPair[] = [];
  for (const group of deployment.targets) {
    for (let index = 0; index < group.count; index += 1) {
      const name = `${group.service}-${index}`;
      const zone = deployment.zones[index % deployment.zones.length];
      const [targetPort, agentPort] = ports.splice(0, 2);
      const target = startTarget(
        name,
        group.kind,
        targetPort,
        storePort,
        options,
      );
      const agent = startChild(`${name}-agent`, AGENT, [
        ...['--id', `${name}-agent`],
        ...['--zone', zone],
        ...['--port', String(agentPort)],
        ...['--control', control],
        ...['--target', name],
        ...['--target-url', `${LOOPBACK}:${targetPort}`],
        ...['--target-kind', group.kind],
        ...['--fence-checked', 'true'],
        ...['--customer', deployment.customer],
        ...['--service', group.service],
        ...flags,
      ]);
      const url = `${LOOPBACK}:${targetPort}`;
      targets.push({name, url, target, agent});
    }
  }
  await Promise.all(targets.map(pair => pair.agent.line(isStarted)));
  return {store, targets};
}

function startTarget(
  name: string,
  kind: 'engine' | 'service',
  port: number,
  storePort: number,
  options: SystemOptions,
): Child {
  if (kind === 'service') {
    return startChild(name, LAB, [
      'service',
      ...['--port', String(port)],
      ...['--call-ms', String(options.serviceCallMs ?? 5)],
    ]);
  }
  return startChild(name, LAB, [
    'engine',
    ...['--port', String(port)],
    ...['--slots', String(ENGINE_SLOTS)],
    ...['--batch-limit', String(options.batchLimit ?? BATCH_LIMIT)],
    ...['--store-url', `${LOOPBACK}:${storePort}`],
    ...['--first-token-ms', String(options.firstTokenMs ?? 20)],
    ...['--token-ms', String(options.tokenMs ?? 5)],
  ]);
}

async function settled(session: OperatorSession, count: number): Promise<void> {
  const deadline = session.deadline();
  while (performance.now() < deadline) {
    const members = await session.members();
    const healthy = members.isOk
      ? members.value.filter(member => member.target?.healthy === true)
      : [];
    if (healthy.length >= count) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, SETTLE_POLL_MS));
  }
  throw new Error('the targets did not all announce themselves in time');
}

function isStarted(line: string): boolean {
  return line.includes('"process-started"');
}

function isReady(line: string): boolean {
  return line.startsWith('ready ');
}
