import type {Deployment, TargetGroup} from './deployments.js';
import {findFreePorts} from './ports.js';
import type {Listener, SystemOptions} from './system-options.js';

/** Ports and zone of a target and its agent. */
export interface TargetPorts {
  readonly name: string;
  readonly group: TargetGroup;
  readonly zone: string;
  /** Port of the target. */
  readonly target: number;
  /** Port of the agent. */
  readonly agent: number;
}

/** Ports of a deployment. */
export interface DeploymentPorts {
  readonly deployment: Deployment;
  /** Port of the weight store. */
  readonly store: number;
  readonly targets: readonly TargetPorts[];
}

/** Ports of all processes of a system. */
export interface SystemPorts {
  readonly controls: readonly number[];
  /** Ports of the entries for other processes of the system. */
  readonly entries: readonly number[];
  /** Ports of the entries for callers. */
  readonly callers: readonly number[];
  readonly balancer: number;
  readonly deployments: readonly DeploymentPorts[];
}

/** Allocates the ports of all processes before any process starts. */
export async function allocateSystemPorts(
  options: SystemOptions,
): Promise<SystemPorts> {
  return assignPorts(options, await findFreePorts(countPorts(options)));
}

function countPorts({controls, entries, deployments}: SystemOptions): number {
  const groups = deployments.flatMap(({targets}) => targets);
  const targets = groups.reduce((sum, group) => sum + group.count, 0);
  const balancers = 1;
  return controls + balancers + deployments.length + (entries + targets) * 2;
}

/** Assigns the ports of a system; removes them from the front of `ports`. */
function assignPorts(options: SystemOptions, ports: number[]): SystemPorts {
  const {controls, entries, deployments} = options;
  return {
    controls: ports.splice(0, controls),
    entries: ports.splice(0, entries),
    callers: ports.splice(0, entries),
    balancer: ports.shift()!,
    deployments: deployments.map(deployment => ({
      deployment,
      store: ports.shift()!,
      targets: assignTargetPorts(deployment, ports),
    })),
  };
}

/** Assigns the ports of the targets of a deployment; removes them from the front of `ports`. */
function assignTargetPorts(
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

/** Lists the processes to which other processes of the system connect. */
export function listListeners(
  options: SystemOptions,
  ports: SystemPorts,
): Listener[] {
  const {controls, entries, deployments} = ports;
  return [
    ...controls.map((port, index) => ({
      name: `control-${index}`,
      zone: findZone(options, index),
      port,
    })),
    ...entries.map((port, index) => ({
      name: `entry-${index}`,
      zone: findZone(options, index),
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

/** Returns the zone of the control replica or entry with the given index. */
export function findZone({zones}: SystemOptions, index: number): string {
  return zones?.[index % zones.length] ?? `zone-${index}`;
}
