import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  deploymentTree,
  freePorts,
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

/** Options of one engine with its agents, as processes. */
export interface EngineSystemOptions {
  readonly slots: number;
  readonly batchLimit: number;
  readonly tokenMs: number;
  readonly loadsPerSecond: number;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly fenceChecked: boolean;
  readonly adapters: number;
}

/** An agent process. */
export interface AgentProcess {
  readonly child: Child;
  readonly url: string;
}

/** One engine with a store, a control and agents, as processes. */
export interface EngineSystem {
  readonly engineUrl: string;
  readonly controlUrl: string;
  readonly session: OperatorSession;
  /** Starts an agent that reaches control at `controlUrl`, or at its own address. */
  startAgent(controlUrl?: string): Promise<AgentProcess>;
  faults(faults: Partial<EngineFaults>): Promise<void>;
  record(): Promise<RunRecord[]>;
  /** Orders but for those that only show a fencing number. */
  orders(): Promise<OrderRecord[]>;
  stop(): Promise<void>;
}

const LAB = '@marigoldspur/lab';
const SESSION_TIMEOUT_MS = 30_000;
const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
} as const;

/** Starts control, store and engine; agents are started one by one. */
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
  const [controlPort] = await freePorts(1);
  const controlUrl = `http://127.0.0.1:${controlPort}`;
  const control = start('control', '@marigoldspur/control-server', [
    ...['--id', 'control-0'],
    ...['--zone', 'lima-a'],
    ...['--port', String(controlPort)],
    ...['--peers', controlUrl],
    ...['--bootstrap', 'true'],
    ...['--data-folder', path.join(folder, 'control')],
  ]);
  await control.line(isStarted);
  const session = openSession([controlUrl], {timeoutMs: SESSION_TIMEOUT_MS});
  const {loadsPerSecond} = options;
  const tree = deploymentTree(
    [{...DEPLOYMENT, loadsPerSecond}],
    options.adapters,
  );
  await submitChange(session, [{edit: 'replace', value: tree}], {
    author: 'lab',
  });
  const store = start('store', LAB, [
    'store',
    ...['--loads-per-second', String(loadsPerSecond)],
  ]);
  const storeUrl = readyUrl(await store.line(isReady));
  const engine = start('engine', LAB, [
    'engine',
    ...['--slots', String(options.slots)],
    ...['--batch-limit', String(options.batchLimit)],
    ...['--store-url', storeUrl],
    ...['--first-token-ms', String(options.tokenMs)],
    ...['--token-ms', String(options.tokenMs)],
    ...['--checks-fence', String(options.fenceChecked)],
  ]);
  const engineUrl = readyUrl(await engine.line(isReady));
  const startAgent = async (reachedAt = controlUrl) => {
    const child = start('agent', '@marigoldspur/agent-server', [
      ...['--id', 'agent-0'],
      ...['--zone', 'lima-a'],
      ...['--port', '0'],
      ...['--control', reachedAt],
      ...['--target', 'lm-desk-0'],
      ...['--target-url', engineUrl],
      ...['--target-kind', 'engine'],
      ...['--fence-checked', String(options.fenceChecked)],
      ...['--order-lease-ms', '1500'],
      ...['--customer', 'callao'],
      ...['--service', 'lm-desk'],
    ]);
    return {child, url: startedUrl(await child.line(isStarted))};
  };
  const read = async (page: string) =>
    (await fetch(`${engineUrl}${page}`)).json();
  return {
    engineUrl,
    controlUrl,
    session,
    startAgent,
    record: () => read('/record') as Promise<RunRecord[]>,
    orders: async () =>
      ((await read('/orders')) as OrderRecord[]).filter(
        order => order.model !== '@',
      ),
    faults: async faults => {
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

function isStarted(line: string): boolean {
  return line.includes('"process-started"');
}

function isReady(line: string): boolean {
  return line.startsWith('ready ');
}

function startedUrl(line: string): string {
  return (JSON.parse(line) as {details: {url: string}}).details.url;
}

function readyUrl(line: string): string {
  return line.slice('ready '.length);
}
