import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  openSession,
  submitChange,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import {awaitSettled} from './await-settled.js';
import {endChildren, type Child} from './child.js';
import {
  startControls,
  startEntries,
  startTargets,
  type TargetPair,
} from './start-processes.js';
import {startStandIn} from './start-stand-in.js';
import type {SystemOptions} from './system-options.js';
import {chooseSystemPorts, listenersOf} from './system-ports.js';

/** A running system of processes. */
export interface System {
  readonly balancerUrl: string;
  readonly controlUrls: readonly string[];
  readonly entryUrls: readonly string[];
  readonly controls: readonly Child[];
  readonly entries: readonly Child[];
  readonly targets: readonly TargetPair[];
  readonly session: OperatorSession;
  /** Resolves once control and each entry know every target as healthy. */
  settled(): Promise<void>;
  stop(): Promise<void>;
}

const LOOPBACK = 'http://127.0.0.1';
const SESSION_TIMEOUT_MS = 30_000;

/** Starts control, entries, a balancer, and targets with their agents as separate processes. */
export async function startSystem(options: SystemOptions): Promise<System> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-'));
  const flags = [
    ...['--log-level', options.logLevel ?? 'info'],
    ...(options.keys?.processFlags ?? []),
  ];
  const ports = await chooseSystemPorts(options);
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
  const balancer = await startStandIn('balancer', [
    'balancer',
    ...['--port', String(balancerPort)],
    ...['--entries', entries.callerUrls.join(',')],
  ]);
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
    settled: () =>
      awaitSettled(session, {
        entries: entries.children.length,
        targets: targets.length,
      }),
    stop: async () => {
      session.close();
      await endChildren(children);
      await rm(folder, {recursive: true, force: true});
    },
  };
}
