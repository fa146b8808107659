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
import type {Deployment, TargetGroup} from './deployments.js';
import {freePorts} from './ports.js';

/** Keys of a system, made by whoever starts it. */
export interface SystemKeys {
  /** Flags of control, entries and agents that name their certificate and key files. */
  readonly processFlags: readonly string[];
  /** Flags of entries that name the keys of callers and the certificate that these see. */
  readonly entryFlags: readonly string[];
  /** Certificate authority of the system, in PEM; without it processes speak HTTP. */
  readonly ca?: string;
  /** Token of an operator who may change settings. */
  readonly token?: string;
}

/** A process of the system that listens for the others. */
export interface Listener {
  readonly name: string;
  readonly zone: string;
  readonly port: number;
}

/** What lies between the processes of a system. */
export interface Network {
  /** Takes every process that listens, before any of them starts. */
  open(listeners: readonly Listener[]): Promise<void>;
  /** Environment of a process, which sends its connections through the network. */
  variables(name: string): NodeJS.ProcessEnv;
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
  /** Zones of the replicas of control and of the entries, in turn; each has its own by default. */
  readonly zones?: readonly string[];
  /** What lies between control, entries and agents; loopback alone by default. */
  readonly network?: Network;
  /** How long an engine keeps a broken stream, in milliseconds; 0 for not at all. */
  readonly resumeMs?: number;
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
  const ports = systemPorts(options, await freePorts(portCount(options)));
  await options.network?.open(listenersOf(options, ports));
  const controls = await startControls(options, ports, folder, flags);
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
  const entries = await startEntries(options, ports, control, flags);
  const targets: TargetPair[] = [];
  const stores: Child[] = [];
  for (const deployment of ports.deployments) {
    const started = await startTargets(deployment, options, control, flags);
    targets.push(...started.targets);
    stores.push(started.store);
  }
  const balancerPort = ports.balancer;
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

/** Ports and zone of one target and its agent. */
interface TargetPorts {
  readonly name: string;
  readonly group: TargetGroup;
  readonly zone: string;
  readonly target: number;
  readonly agent: number;
}

interface DeploymentPorts {
  readonly deployment: Deployment;
  readonly store: number;
  readonly targets: readonly TargetPorts[];
}

interface SystemPorts {
  readonly controls: readonly number[];
  readonly entries: readonly number[];
  readonly callers: readonly number[];
  readonly balancer: number;
  readonly deployments: readonly DeploymentPorts[];
}

/** Ports of all processes; chosen at once, so that they are known before anything starts. */
function portCount({controls, entries, deployments}: SystemOptions): number {
  const groups = deployments.flatMap(({targets}) => targets);
  const targets = groups.reduce((sum, group) => sum + group.count, 0);
  const balancers = 1;
  return controls + balancers + deployments.length + (entries + targets) * 2;
}

/** Takes the ports of a system from the front of `ports`. */
function systemPorts(options: SystemOptions, ports: number[]): SystemPorts {
  const {controls, entries, deployments} = options;
  return {
    controls: ports.splice(0, controls),
    entries: ports.splice(0, entries),
    callers: ports.splice(0, entries),
    balancer: ports.shift()!,
    deployments: deployments.map(deployment => ({
      deployment,
      store: ports.shift()!,
      targets: targetPortsOf(deployment, ports),
    })),
  };
}

/** Takes the ports of a deployment's targets from the front of `ports`. */
function targetPortsOf(
  {targets, zones}: Deployment,
  ports: number[],
): TargetPorts[] {
  return targets.flatMap(group =>
    Array.from({length: group.count}, (_, index) => ({
      name: `${group.service}-${index}`,
      group,
      zone: zones[index % zones.length],
      target: ports.shift()!,
      agent: ports.shift()!,
    })),
  );
}

/** The processes that others of the system connect to. */
function listenersOf(options: SystemOptions, ports: SystemPorts): Listener[] {
  const {controls, entries, deployments} = ports;
  return [
    ...controls.map((port, index) => ({
      name: `control-${index}`,
      zone: zoneAt(options, index),
      port,
    })),
    ...entries.map((port, index) => ({
      name: `entry-${index}`,
      zone: zoneAt(options, index),
      port,
    })),
    ...deployments
      .flatMap(({targets}) => targets)
      .map(({name, zone, agent}) => ({
        name: `${name}-agent`,
        zone,
        port: agent,
      })),
  ];
}

/** Zone of the replica of control or the entry at a position. */
function zoneAt({zones}: SystemOptions, index: number): string {
  return zones?.[index % zones.length] ?? `zone-${index}`;
}

async function startControls(
  options: SystemOptions,
  {controls: ports}: SystemPorts,
  folder: string,
  flags: readonly string[],
) {
  const scheme = options.keys?.ca === undefined ? 'http' : 'https';
  const urls = ports.map(port => `${scheme}://127.0.0.1:${port}`);
  const children = ports.map((port, index) => {
    const name = `control-${index}`;
    return startChild(
      name,
      CONTROL,
      [
        ...['--id', name],
        ...['--zone', zoneAt(options, index)],
        ...['--port', String(port)],
        ...['--peers', urls.join(',')],
        ...['--bootstrap', 'true'],
        ...['--data-folder', path.join(folder, name)],
        ...flags,
      ],
      options.network?.variables(name),
    );
  });
  await Promise.all(children.map(child => child.line(isStarted)));
  return {urls, children};
}

async function startEntries(
  options: SystemOptions,
  ports: SystemPorts,
  control: string,
  flags: readonly string[],
) {
  const children = ports.callers.map((port, index) => {
    const name = `entry-${index}`;
    return startChild(
      name,
      ENTRY,
      [
        ...['--id', name],
        ...['--zone', zoneAt(options, index)],
        ...['--caller-port', String(port)],
        ...['--port', String(ports.entries[index])],
        ...['--control', control],
        ...flags,
        ...(options.keys?.entryFlags ?? []),
      ],
      options.network?.variables(name),
    );
  });
  await Promise.all(children.map(child => child.line(isStarted)));
  const callerUrls = ports.callers.map(port => `${LOOPBACK}:${port}`);
  return {callerUrls, children};
}

async function startTargets(
  ports: DeploymentPorts,
  options: SystemOptions,
  control: string,
  flags: readonly string[],
) {
  const {deployment} = ports;
  const store = startChild(`${deployment.customer}-store`, LAB, [
    'store',
    ...['--port', String(ports.store)],
    ...['--loads-per-second', String(deployment.loadsPerSecond)],
  ]);
  await store.line(isReady);
  const targets = ports.targets.map(each => {
    const {name, group} = each;
    const url = `${LOOPBACK}:${each.target}`;
    const target = startTarget(
      name,
      group.kind,
      each.target,
      ports.store,
      options,
    );
    const agent = startChild(
      `${name}-agent`,
      AGENT,
      [
        ...['--id', `${name}-agent`],
        ...['--zone', each.zone],
        ...['--port', String(each.agent)],
        ...['--control', control],
        ...['--target', name],
        ...['--target-url', url],
        ...['--target-kind', group.kind],
        ...['--fence-checked', 'true'],
        ...['--customer', deployment.customer],
        ...['--service', group.service],
        ...flags,
      ],
      options.network?.variables(`${name}-agent`),
    );
    return {name, url, target, agent};
  });
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
    ...['--resume-ms', String(options.resumeMs ?? 0)],
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
