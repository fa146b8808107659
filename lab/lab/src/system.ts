import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  openSession,
  submitChange,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import {waitUntilSettled} from './wait-until-settled.js';
import {stopChildren, type Child} from './child.js';
import {
  startControls,
  startEntries,
  startTargets,
  type TargetPair,
} from './start-processes.js';
import {startStandIn} from './start-stand-in.js';
import type {SystemOptions} from './system-options.js';
import {allocateSystemPorts, listListeners} from './system-ports.js';

/** A running system whose parts are separate processes. */
export interface System {
  readonly balancerUrl: string;
  readonly controlUrls: readonly string[];
  /** Base URLs of the caller ports of the entries. */
  readonly entryUrls: readonly string[];
  readonly controls: readonly Child[];
  readonly entries: readonly Child[];
  readonly targets: readonly TargetPair[];
  readonly session: OperatorSession;
  /** Resolves when control and every entry see all targets as healthy; rejects after 30 seconds. */
  waitUntilSettled(): Promise<void>;
  /** Stops all processes and deletes their data. */
  stop(): Promise<void>;
}

const LOOPBACK_URL = 'http://127.0.0.1';
const SESSION_TIMEOUT_MS = 30_000;

/** Starts control, entries, a load balancer, targets and their agents as separate processes. */
export async function startSystem(options: SystemOptions): Promise<System> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-'));
  const processFlags = [
    ...['--log-level', options.logLevel ?? 'info'],
    ...(options.keys?.processFlags ?? []),
  ];
  const ports = await allocateSystemPorts(options);
  await options.network?.open(listListeners(options, ports));
  const controls = await startControls(options, ports, folder, processFlags);
  const controlUrls = controls.urls.join(',');
  const session = openSession(controls.urls, {
    timeoutMs: SESSION_TIMEOUT_MS,
    ca: options.keys?.ca,
    token: options.keys?.token,
  });
  const change = await submitChange(
    session,
    [{edit: 'replace', value: options.tree}],
    {author: 'lab'},
  );
  if (change.isErr || change.value.outcome !== 'accepted') {
    throw new Error(
      `control did not accept the settings tree: ${JSON.stringify(change)}`,
    );
  }
  const entries = await startEntries(options, ports, controlUrls, processFlags);
  const targets: TargetPair[] = [];
  const stores: Child[] = [];
  for (const deployment of ports.deployments) {
    const started = await startTargets(
      deployment,
      options,
      controlUrls,
      processFlags,
    );
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
    balancerUrl: `${LOOPBACK_URL}:${balancerPort}`,
    controlUrls: controls.urls,
    entryUrls: entries.callerUrls,
    controls: controls.children,
    entries: entries.children,
    targets,
    session,
    waitUntilSettled: () =>
      waitUntilSettled(session, {
        entries: entries.children.length,
        targets: targets.length,
      }),
    stop: async () => {
      session.close();
      await stopChildren(children);
      await rm(folder, {recursive: true, force: true});
    },
  };
}
