import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import type {ControlStatus} from '@marigoldspur/control-api';
import {ControlClient} from '@marigoldspur/control-client';
import {
  openPartitionProxy,
  createRedirectVariables,
  type PartitionProxy,
} from '@marigoldspur/partition-proxy';
import {findFreePorts, startChild, type Child} from '@marigoldspur/lab';
import {
  DISK_FAULT_VARIABLE,
  diskFaultNodeOptions,
  setDiskFault,
  type DiskFault,
} from './disk-fault-file.js';

/** Options of a control host group. */
export interface ControlHostGroupOptions {
  /** Number of hosts, each with one control process. */
  readonly replicas: number;
  /** Additional flags of each process. */
  readonly flags?: readonly string[];
  /** Parent of the folder for all data; the temporary folder of the system by default. */
  readonly folder?: string;
  /** Whether disk faults can be injected. */
  readonly hasDiskFaults?: boolean;
}

const CONTROL_PACKAGE = '@marigoldspur/control-server';
const POLL_MS = 20;
const STATUS_TIMEOUT_MS = 500;
const WAIT_TIMEOUT_MS = 45_000;

/** A simulated host of a control process, with its links to the other hosts. */
export class ControlHost {
  /** The process of the host; undefined while none has been started. */
  child: Child | undefined;
  /** Links to the other hosts, by their index. */
  readonly links = new Map<number, PartitionProxy>();

  constructor(
    readonly index: number,
    readonly port: number,
    readonly folder: string,
  ) {}

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** File that contains the current disk fault. */
  get faultFile(): string {
    return `${this.folder}.fault`;
  }
}

/** A group of simulated hosts with control processes on this machine, into which faults can be injected. */
export class ControlHostGroup {
  readonly client: ControlClient;

  private constructor(
    readonly hosts: readonly ControlHost[],
    private readonly options: ControlHostGroupOptions,
    private readonly folder: string,
  ) {
    this.client = new ControlClient({urls: hosts.map(host => host.url)});
  }

  /** Starts a new group and waits until all processes are voters that have caught up. */
  static async start(
    options: ControlHostGroupOptions,
  ): Promise<ControlHostGroup> {
    const parent = options.folder ?? tmpdir();
    const folder = await mkdtemp(path.join(parent, 'marigoldspur-log-'));
    const ports = await findFreePorts(options.replicas);
    const hosts = ports.map(
      (port, index) =>
        new ControlHost(index, port, path.join(folder, `control-${index}`)),
    );
    for (const from of hosts) {
      for (const to of hosts.filter(host => host !== from)) {
        from.links.set(to.index, await openPartitionProxy(to.port));
      }
    }
    const group = new ControlHostGroup(hosts, options, folder);
    hosts.forEach(host => group.startProcess(host));
    await group.waitUntilCaughtUp();
    return group;
  }

  /** Starts the control process of a host that has none. */
  startProcess(host: ControlHost): void {
    const ports = Object.fromEntries(
      [...host.links].map(([index, link]) => [
        this.hosts[index].port,
        link.port,
      ]),
    );
    host.child = startChild(
      `control-${host.index}`,
      CONTROL_PACKAGE,
      [
        ...['--id', `control-${host.index}`],
        ...['--zone', `zone-${host.index}`],
        ...['--port', String(host.port)],
        ...['--peers', this.hosts.map(({url}) => url).join(',')],
        ...['--bootstrap', 'true'],
        ...['--data-folder', host.folder],
        ...(this.options.flags ?? []),
      ],
      this.buildEnvironment(host, createRedirectVariables(ports)),
    );
  }

  /** Makes the file writes or syncs of a process fail; undefined ends the fault. Requires `hasDiskFaults`. */
  async applyDiskFault(
    host: ControlHost,
    fault: DiskFault | undefined,
  ): Promise<void> {
    await setDiskFault(host.faultFile, fault);
  }

  /** Kills a process and waits until it has exited. */
  async kill(host: ControlHost): Promise<void> {
    host.child?.signal('SIGKILL');
    await host.child?.ended;
    host.child = undefined;
  }

  /** Requests the shutdown of a process; resolves to its exit code or signal. */
  async drain(host: ControlHost): Promise<number | string | undefined> {
    host.child?.signal('SIGTERM');
    const end = await host.child?.ended;
    host.child = undefined;
    return end;
  }

  /** Kills a process and deletes its data folder. */
  async loseDisk(host: ControlHost): Promise<void> {
    await this.kill(host);
    await rm(host.folder, {recursive: true, force: true});
  }

  /** Cuts the traffic from one host to another silently, or restores it. */
  cut(from: ControlHost, to: ControlHost, isCut: boolean): void {
    const forwardLink = from.links.get(to.index);
    const backwardLink = to.links.get(from.index);
    forwardLink?.setState({...forwardLink.getState(), forward: !isCut});
    backwardLink?.setState({...backwardLink.getState(), backward: !isCut});
  }

  /** Cuts a host off from all others silently in both directions, or reconnects it. */
  isolate(host: ControlHost, isCut: boolean): void {
    for (const other of this.hosts.filter(each => each !== host)) {
      this.cut(host, other, isCut);
      this.cut(other, host, isCut);
    }
  }

  /** Fetches the status of the process of a host; resolves to undefined if it does not answer. */
  async fetchStatus(host: ControlHost): Promise<ControlStatus | undefined> {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    return this.client
      .replica(host.url)
      .status.query(undefined, {signal})
      .catch(() => undefined);
  }

  /** Waits until a process answers with its status, and returns it. */
  waitForStatus(host: ControlHost): Promise<ControlStatus> {
    return this.pollUntil(`the status of ${host.url}`, () =>
      this.fetchStatus(host),
    );
  }

  /** Creates a client that knows only some hosts. */
  createClient(hosts: readonly ControlHost[]): ControlClient {
    return new ControlClient({urls: hosts.map(host => host.url)});
  }

  /** Waits until a host has applied the log up to an index. */
  async waitUntilApplied(host: ControlHost, index: number): Promise<void> {
    await this.pollUntil(`index ${index} to be applied`, async () => {
      const status = await this.fetchStatus(host);
      return (status?.appliedIndex ?? 0) >= index ? true : undefined;
    });
  }

  /** Waits until a host other than `except` leads, and returns it. */
  async waitForLeader(except?: ControlHost): Promise<ControlHost> {
    const others = this.hosts.filter(host => host !== except);
    return this.pollUntil('a leader', async () => {
      for (const host of others.filter(({child}) => child !== undefined)) {
        if ((await this.fetchStatus(host))?.role === 'leader') {
          return host;
        }
      }
      return undefined;
    });
  }

  /** Waits until every host is a voter and the leader sees that each running process has caught up. */
  async waitUntilCaughtUp(): Promise<void> {
    const runningCount = this.hosts.filter(
      ({child}) => child !== undefined,
    ).length;
    await this.pollUntil('all replicas to catch up', async () => {
      for (const host of this.hosts) {
        const status = await this.fetchStatus(host);
        const isCaughtUp =
          status?.role === 'leader' &&
          status.voters.length === this.options.replicas &&
          (status.replicas ?? []).filter(
            replica => (replica.matchIndex ?? 0) >= status.commitIndex,
          ).length >= runningCount;
        if (isCaughtUp) {
          return true;
        }
      }
      return undefined;
    });
  }

  /** Waits until any process has logged an event with this name whose details match, and returns the details. */
  async waitForEvent(
    name: string,
    matches: (details: Record<string, unknown>) => boolean,
  ): Promise<Record<string, unknown>> {
    return this.pollUntil(`the event ${name}`, async () => {
      for (const {child} of this.hosts) {
        for (const line of child?.lines ?? []) {
          const details = parseDetails(line, name);
          if (details !== undefined && matches(details)) {
            return details;
          }
        }
      }
      return undefined;
    });
  }

  /** Kills all processes, closes the links and deletes the data folders. */
  async stop(): Promise<void> {
    this.client.close();
    await Promise.all(this.hosts.map(host => this.kill(host)));
    const links = this.hosts.flatMap(host => [...host.links.values()]);
    await Promise.all(links.map(link => link.close()));
    await rm(this.folder, {recursive: true, force: true});
  }

  private buildEnvironment(
    host: ControlHost,
    variables: NodeJS.ProcessEnv,
  ): NodeJS.ProcessEnv {
    return this.options.hasDiskFaults
      ? {
          ...variables,
          NODE_OPTIONS: `${variables.NODE_OPTIONS} ${diskFaultNodeOptions()}`,
          [DISK_FAULT_VARIABLE]: host.faultFile,
        }
      : variables;
  }

  private async pollUntil<T>(
    what: string,
    poll: () => Promise<T | undefined>,
  ): Promise<T> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (performance.now() < deadline) {
      const found = await poll();
      if (found !== undefined) {
        return found;
      }
      await delay(POLL_MS);
    }
    const lines = this.hosts.flatMap(
      ({child}) => child?.lines.slice(-10) ?? [],
    );
    throw new Error(
      `timed out waiting for ${what}; last log lines of the processes:\n${lines.join('\n')}`,
    );
  }
}

function parseDetails(
  line: string,
  name: string,
): Record<string, unknown> | undefined {
  if (!line.includes(`"name":"${name}"`)) {
    return undefined;
  }
  return (JSON.parse(line) as {details: Record<string, unknown>}).details;
}
