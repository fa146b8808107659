import path from 'node:path';
import {startChild, type Child} from './child.js';
import {LAB_PACKAGE, startStandIn} from './start-stand-in.js';
import type {SystemOptions} from './system-options.js';
import {
  findZone,
  type DeploymentPorts,
  type SystemPorts,
} from './system-ports.js';

/** A target and its agent. */
export interface TargetPair {
  /** Name of the target. */
  readonly name: string;
  /** Base URL of the target. */
  readonly url: string;
  readonly target: Child;
  readonly agent: Child;
}

const CONTROL_PACKAGE = '@marigoldspur/control-server';
const ENTRY_PACKAGE = '@marigoldspur/entry-server';
const AGENT_PACKAGE = '@marigoldspur/agent-server';
const LOOPBACK_URL = 'http://127.0.0.1';
const ENGINE_SLOTS = 6;
const BATCH_LIMIT = 16;

/** Starts the control replicas; resolves to their base URLs and processes. */
export async function startControls(
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
      CONTROL_PACKAGE,
      [
        ...['--id', name],
        ...['--zone', findZone(options, index)],
        ...['--port', String(port)],
        ...['--peers', urls.join(',')],
        ...['--bootstrap', 'true'],
        ...['--data-folder', path.join(folder, name)],
        ...flags,
      ],
      options.network?.createVariables(name),
    );
  });
  await Promise.all(children.map(child => child.waitForLine(isStarted)));
  return {urls, children};
}

/** Starts the entries; resolves to the base URLs of their caller ports and to their processes. */
export async function startEntries(
  options: SystemOptions,
  ports: SystemPorts,
  control: string,
  flags: readonly string[],
) {
  const children = ports.callers.map((port, index) => {
    const name = `entry-${index}`;
    return startChild(
      name,
      ENTRY_PACKAGE,
      [
        ...['--id', name],
        ...['--zone', findZone(options, index)],
        ...['--caller-port', String(port)],
        ...['--port', String(ports.entries[index])],
        ...['--control', control],
        ...flags,
        ...(options.keys?.entryFlags ?? []),
        ...(options.entryFlags ?? []),
      ],
      options.network?.createVariables(name),
    );
  });
  await Promise.all(children.map(child => child.waitForLine(isStarted)));
  const callerUrls = ports.callers.map(port => `${LOOPBACK_URL}:${port}`);
  return {callerUrls, children};
}

/** Starts the weight store, the targets and the agents of a deployment. */
export async function startTargets(
  ports: DeploymentPorts,
  options: SystemOptions,
  control: string,
  flags: readonly string[],
) {
  const {deployment} = ports;
  const store = await startStandIn(`${deployment.customer}-store`, [
    'store',
    ...['--port', String(ports.store)],
    ...['--loads-per-second', String(deployment.loadsPerSecond)],
  ]);
  const targets = ports.targets.map(targetPorts => {
    const {name, group} = targetPorts;
    const url = `${LOOPBACK_URL}:${targetPorts.target}`;
    const target = startTarget(
      name,
      group.kind,
      targetPorts.target,
      ports.store,
      options,
    );
    const agent = startChild(
      `${name}-agent`,
      AGENT_PACKAGE,
      [
        ...['--id', `${name}-agent`],
        ...['--zone', targetPorts.zone],
        ...['--port', String(targetPorts.agent)],
        ...['--control', control],
        ...['--target', name],
        ...['--target-url', url],
        ...['--target-kind', group.kind],
        ...['--fence-checked', 'true'],
        ...['--customer', deployment.customer],
        ...['--service', group.service],
        ...flags,
      ],
      options.network?.createVariables(`${name}-agent`),
    );
    return {name, url, target, agent};
  });
  await Promise.all(targets.map(pair => pair.agent.waitForLine(isStarted)));
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
    return startChild(name, LAB_PACKAGE, [
      'service',
      ...['--port', String(port)],
      ...['--call-ms', String(options.serviceCallMs ?? 5)],
    ]);
  }
  return startChild(name, LAB_PACKAGE, [
    'engine',
    ...['--port', String(port)],
    ...['--slots', String(ENGINE_SLOTS)],
    ...['--batch-limit', String(options.batchLimit ?? BATCH_LIMIT)],
    ...['--store-url', `${LOOPBACK_URL}:${storePort}`],
    ...['--first-token-ms', String(options.firstTokenMs ?? 20)],
    ...['--token-ms', String(options.tokenMs ?? 5)],
    ...['--resume-ms', String(options.resumeMs ?? 0)],
    ...(options.engineFlags ?? []),
  ]);
}

function isStarted(line: string): boolean {
  return line.includes('"process-started"');
}
