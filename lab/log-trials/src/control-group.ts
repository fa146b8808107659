import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import type {ControlStatus} from '@marigoldspur/control-api';
import {ControlClient} from '@marigoldspur/control-client';
import {
  openCutLink,
  redirectVariables,
  type CutLink,
} from '@marigoldspur/cut-link';
import {freePorts, startChild, type Child} from '@marigoldspur/lab';
import {
  DISK_FAULT_VARIABLE,
  diskFaultImport,
  setDiskFault,
  type DiskFault,
} from './disk-fault-file.js';

/** Options of a group of control processes. */
export interface ControlGroupOptions {
  readonly count: number;
  /** Further flags of each process. */
  readonly flags?: readonly string[];
  /** Folder for the data folders; by default one in the system's folder for temporary files. */
  readonly folder?: string;
  /** Whether the disks of the processes can be made to fail. */
  readonly diskFaults?: boolean;
}

const CONTROL = '@marigoldspur/control-server';
const POLL_MS = 20;
const STATUS_TIMEOUT_MS = 500;
const WAIT_MS = 45_000;

/** One control process, with links of its own to the others. */
export class ControlHost {
  child: Child | undefined;
  /** Links to the other hosts, by their index. */
  readonly links = new Map<number, CutLink>();

  constructor(
    readonly index: number,
    readonly port: number,
    readonly folder: string,
  ) {}

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** File that holds the present fault of the disk. */
  get faultFile(): string {
    return `${this.folder}.fault`;
  }
}

/** A group of control processes on this machine, and the faults that befall it. */
export class ControlGroup {
  readonly client: ControlClient;

  private constructor(
    readonly hosts: readonly ControlHost[],
    private readonly options: ControlGroupOptions,
    private readonly folder: string,
  ) {
    this.client = new ControlClient({urls: hosts.map(host => host.url)});
  }

  /** Starts a new group and waits until each process counts as a voter. */
  static async start(options: ControlGroupOptions): Promise<ControlGroup> {
    const parent = options.folder ?? tmpdir();
    const folder = await mkdtemp(path.join(parent, 'marigoldspur-log-'));
    const ports = await freePorts(options.count);
    const hosts = ports.map(
      (port, index) =>
        new ControlHost(index, port, path.join(folder, `control-${index}`)),
    );
    for (const from of hosts) {
      for (const to of hosts.filter(host => host !== from)) {
        from.links.set(to.index, await openCutLink(to.port));
      }
    }
    const group = new ControlGroup(hosts, options, folder);
    hosts.forEach(host => group.run(host));
    await group.whole();
    return group;
  }

  /** Starts a process of a host that has none. */
  run(host: ControlHost): void {
    const ports = Object.fromEntries(
      [...host.links].map(([index, link]) => [
        this.hosts[index].port,
        link.port,
      ]),
    );
    host.child = startChild(
      `control-${host.index}`,
      CONTROL,
      [
        ...['--id', `control-${host.index}`],
        ...['--zone', `zone-${host.index}`],
        ...['--port', String(host.port)],
        ...['--peers', this.hosts.map(({url}) => url).join(',')],
        ...['--bootstrap', 'true'],
        ...['--data-folder', host.folder],
        ...(this.options.flags ?? []),
      ],
      this.environment(host, redirectVariables(ports)),
    );
  }

  /** Lets the writes or syncs of a process fail, or mends its disk. */
  async failDisk(
    host: ControlHost,
    fault: DiskFault | undefined,
  ): Promise<void> {
    await setDiskFault(host.faultFile, fault);
  }

  /** Ends a process at once and waits until it is gone. */
  async kill(host: ControlHost): Promise<void> {
    host.child?.signal('SIGKILL');
    await host.child?.ended;
    host.child = undefined;
  }

  /** Asks a process to end, and waits until it is gone. */
  async drain(host: ControlHost): Promise<number | string | undefined> {
    host.child?.signal('SIGTERM');
    const end = await host.child?.ended;
    host.child = undefined;
    return end;
  }

  /** Ends a process and loses its disk. */
  async loseDisk(host: ControlHost): Promise<void> {
    await this.kill(host);
    await rm(host.folder, {recursive: true, force: true});
  }

  /** Cuts the packets from one host to another silently, or mends the way. */
  cut(from: ControlHost, to: ControlHost, isCut: boolean): void {
    const there = from.links.get(to.index);
    const back = to.links.get(from.index);
    there?.set({...there.state(), forward: !isCut});
    back?.set({...back.state(), backward: !isCut});
  }

  /** Cuts a host off from all others, or mends it. */
  isolate(host: ControlHost, isCut: boolean): void {
    for (const other of this.hosts.filter(each => each !== host)) {
      this.cut(host, other, isCut);
      this.cut(other, host, isCut);
    }
  }

  /** The status of a host's process; undefined where it does not answer. */
  async status(host: ControlHost): Promise<ControlStatus | undefined> {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    return this.client
      .replica(host.url)
      .status.query(undefined, {signal})
      .catch(() => undefined);
  }

  /** A client that knows only some hosts. */
  clientOf(hosts: readonly ControlHost[]): ControlClient {
    return new ControlClient({urls: hosts.map(host => host.url)});
  }

  /** Waits until a host has applied the log up to an index. */
  async applied(host: ControlHost, index: number): Promise<void> {
    await this.wait(`${index} applied`, async () => {
      const status = await this.status(host);
      return (status?.appliedIndex ?? 0) >= index ? true : undefined;
    });
  }

  /** Waits until a host leads, other than `except`. */
  async leader(except?: ControlHost): Promise<ControlHost> {
    const others = this.hosts.filter(host => host !== except);
    return this.wait('a leader', async () => {
      for (const host of others.filter(({child}) => child !== undefined)) {
        if ((await this.status(host))?.role === 'leader') {
          return host;
        }
      }
      return undefined;
    });
  }

  /** Waits until a leader sees each running process as a voter that is caught up. */
  async whole(): Promise<void> {
    const count = this.hosts.filter(({child}) => child !== undefined).length;
    await this.wait('a whole group', async () => {
      for (const host of this.hosts) {
        const status = await this.status(host);
        const isWhole =
          status?.role === 'leader' &&
          status.voters.length === this.options.count &&
          (status.replicas ?? []).filter(
            replica => (replica.matchIndex ?? 0) >= status.commitIndex,
          ).length >= count;
        if (isWhole) {
          return true;
        }
      }
      return undefined;
    });
  }

  /** Waits until the process of a host logged an event that `matches`. */
  async event(
    name: string,
    matches: (details: Record<string, unknown>) => boolean,
  ): Promise<Record<string, unknown>> {
    return this.wait(`the event ${name}`, async () => {
      for (const {child} of this.hosts) {
        for (const line of child?.lines ?? []) {
          const details = detailsOf(line, name);
          if (details !== undefined && matches(details)) {
            return details;
          }
        }
      }
      return undefined;
    });
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    this.client.close();
    await Promise.all(this.hosts.map(host => this.kill(host)));
    const links = this.hosts.flatMap(host => [...host.links.values()]);
    await Promise.all(links.map(link => link.close()));
    await rm(this.folder, {recursive: true, force: true});
  }

  private environment(
    host: ControlHost,
    variables: NodeJS.ProcessEnv,
  ): NodeJS.ProcessEnv {
    return this.options.diskFaults
      ? {
          ...variables,
          NODE_OPTIONS: `${variables.NODE_OPTIONS} ${diskFaultImport()}`,
          [DISK_FAULT_VARIABLE]: host.faultFile,
        }
      : variables;
  }

  private async wait<T>(
    what: string,
    poll: () => Promise<T | undefined>,
  ): Promise<T> {
    const deadline = performance.now() + WAIT_MS;
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
    throw new Error(`no ${what} in time:\n${lines.join('\n')}`);
  }
}

function detailsOf(
  line: string,
  name: string,
): Record<string, unknown> | undefined {
  if (!line.includes(`"name":"${name}"`)) {
    return undefined;
  }
  return (JSON.parse(line) as {details: Record<string, unknown>}).details;
}
