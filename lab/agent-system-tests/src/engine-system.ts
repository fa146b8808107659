import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  createDeploymentTree,
  findFreePorts,
  startChild,
  type Child,
} from '@marigoldspur/lab';
import {
  openSession,
  submitChange,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import type {
  EngineFaults,
  OrderRecord,
  RunRecord,
} from '@marigoldspur/stand-ins';

/** Options of a system with one engine. */
export interface EngineSystemOptions {
  /** Number of adapter slots. */
  readonly slots: number;
  /** Maximum number of requests in a batch. */
  readonly batchLimit: number;
  /** Time to the first token and between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** Loads per second of the weight store when they run one at a time. */
  readonly loadsPerSecond: number;
  /** Whether the engine rejects orders with an old fencing number. */
  readonly isFenceChecked: boolean;
  /** Number of adapters in the settings tree. */
  readonly adapters: number;
}

/** A process of the product: an agent or an entry. */
export interface ServerProcess {
  readonly child: Child;
  readonly url: string;
}

/** One engine, its weight store, control and agents, as separate processes. */
export interface EngineSystem {
  readonly engineUrl: string;
  readonly controlUrl: string;
  readonly session: OperatorSession;
  /** Starts an agent that connects to control and to the engine, at these URLs if they are given. */
  startAgent(controlUrl?: string, targetUrl?: string): Promise<ServerProcess>;
  /** Starts an entry; resolves to its process and the URL of its caller port. */
  startEntry(): Promise<ServerProcess>;
  /** Replaces the injected faults of the engine. */
  setFaults(faults: Partial<EngineFaults>): Promise<void>;
  fetchRunRecords(): Promise<RunRecord[]>;
  /** Fetches the orders, without those that only announce a fencing number. */
  fetchOrderRecords(): Promise<OrderRecord[]>;
  /** Kills all processes and deletes the data of control. */
  stop(): Promise<void>;
}

const LAB_PACKAGE = '@marigoldspur/lab';
const SESSION_TIMEOUT_MS = 30_000;
const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
} as const;

/** Starts control, weight store and engine; the caller starts the agents. */
export async function startEngineSystem(
  options: EngineSystemOptions,
): Promise<EngineSystem> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-'));
  const children: Child[] = [];
  const start = (name: string, program: string, args: string[]) => {
    const child = startChild(name, program, args);
    children.push(child);
    return child;
  };
  const [controlPort] = await findFreePorts(1);
  const controlUrl = `http://127.0.0.1:${controlPort}`;
  const control = start('control', '@marigoldspur/control-server', [
    ...['--id', 'control-0'],
    ...['--zone', 'lima-a'],
    ...['--port', String(controlPort)],
    ...['--peers', controlUrl],
    ...['--bootstrap', 'true'],
    ...['--data-folder', path.join(folder, 'control')],
  ]);
  await control.waitForLine(isProcessStartedLine);
  const session = openSession([controlUrl], {timeoutMs: SESSION_TIMEOUT_MS});
  const {loadsPerSecond} = options;
  const tree = createDeploymentTree(
    [{...DEPLOYMENT, loadsPerSecond}],
    options.adapters,
  );
  await submitChange(session, [{edit: 'replace', value: tree}], {
    author: 'lab',
  });
  const store = start('store', LAB_PACKAGE, [
    'store',
    ...['--loads-per-second', String(loadsPerSecond)],
  ]);
  const storeUrl = parseReadyUrl(await store.waitForLine(isReadyLine));
  const engine = start('engine', LAB_PACKAGE, [
    'engine',
    ...['--slots', String(options.slots)],
    ...['--batch-limit', String(options.batchLimit)],
    ...['--store-url', storeUrl],
    ...['--first-token-ms', String(options.tokenMs)],
    ...['--token-ms', String(options.tokenMs)],
    ...['--checks-fence', String(options.isFenceChecked)],
  ]);
  const engineUrl = parseReadyUrl(await engine.waitForLine(isReadyLine));
  const startAgent = async (
    agentControlUrl = controlUrl,
    targetUrl = engineUrl,
  ) => {
    const child = start('agent', '@marigoldspur/agent-server', [
      ...['--id', 'agent-0'],
      ...['--zone', 'lima-a'],
      ...['--port', '0'],
      ...['--control', agentControlUrl],
      ...['--target', 'lm-desk-0'],
      ...['--target-url', targetUrl],
      ...['--target-kind', 'engine'],
      ...['--fence-checked', String(options.isFenceChecked)],
      ...['--order-lease-ms', '1500'],
      ...['--customer', 'callao'],
      ...['--service', 'lm-desk'],
    ]);
    return {
      child,
      url: parseStartedUrl(await child.waitForLine(isProcessStartedLine)),
    };
  };
  const startEntry = async () => {
    const [callerPort] = await findFreePorts(1);
    const child = start('entry', '@marigoldspur/entry-server', [
      ...['--id', 'entry-0'],
      ...['--zone', 'lima-a'],
      ...['--port', '0'],
      ...['--caller-port', String(callerPort)],
      ...['--control', controlUrl],
    ]);
    await child.waitForLine(isProcessStartedLine);
    return {child, url: `http://127.0.0.1:${callerPort}`};
  };
  const fetchJson = async (route: string) =>
    (await fetch(`${engineUrl}${route}`)).json();
  return {
    engineUrl,
    controlUrl,
    session,
    startAgent,
    startEntry,
    fetchRunRecords: () => fetchJson('/record') as Promise<RunRecord[]>,
    fetchOrderRecords: async () =>
      ((await fetchJson('/orders')) as OrderRecord[]).filter(
        order => order.model !== '@',
      ),
    setFaults: async faults => {
      const body = JSON.stringify(faults);
      await fetch(`${engineUrl}/faults`, {method: 'POST', body});
    },
    stop: async () => {
      session.close();
      children.forEach(child => child.signal('SIGKILL'));
      await Promise.all(children.map(child => child.ended));
      await rm(folder, {recursive: true, force: true});
    },
  };
}

function isProcessStartedLine(line: string): boolean {
  return line.includes('"process-started"');
}

function isReadyLine(line: string): boolean {
  return line.startsWith('ready ');
}

function parseStartedUrl(line: string): string {
  return (JSON.parse(line) as {details: {url: string}}).details.url;
}

function parseReadyUrl(line: string): string {
  return line.slice('ready '.length);
}
