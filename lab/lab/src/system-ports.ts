import type {Deployment, TargetGroup} from './deployments.js';
import {freePorts} from './ports.js';
import type {Listener, SystemOptions} from './system-options.js';

/** Ports and zone of one target and its agent. */
export interface TargetPorts {
  readonly name: string;
  readonly group: TargetGroup;
  readonly zone: string;
  readonly target: number;
  readonly agent: number;
}

/** Ports of one deployment. */
export interface DeploymentPorts {
  readonly deployment: Deployment;
  readonly store: number;
  readonly targets: readonly TargetPorts[];
}

/** Ports of all processes of a system. */
export interface SystemPorts {
  readonly controls: readonly number[];
  readonly entries: readonly number[];
  readonly callers: readonly number[];
  readonly balancer: number;
  readonly deployments: readonly DeploymentPorts[];
}

/** Chooses the ports of all processes at once, so that they are known before anything starts. */
export async function chooseSystemPorts(
  options: SystemOptions,
): Promise<SystemPorts> {
  return systemPorts(options, await freePorts(portCount(options)));
}

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
export function listenersOf(
  options: SystemOptions,
  ports: SystemPorts,
): Listener[] {
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
export function zoneAt({zones}: SystemOptions, index: number): string {
  return zones?.[index % zones.length] ?? `zone-${index}`;
}
