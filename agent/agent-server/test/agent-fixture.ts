import http from 'node:http';
import {startAgent} from '@marigoldspur/agent-server';
import {
  formatHop,
  HOP_HEADERS,
  type ClockTime,
  type Hop,
} from '@marigoldspur/messages';
import type {Task} from '@marigoldspur/process-lifecycle';
import {parseModel, type SettingsTree} from '@marigoldspur/settings-schema';
import {
  startEngine,
  startWeightStore,
  type EngineFaults,
  type OrderRecord,
  type RunRecord,
  type StandIn,
} from '@marigoldspur/stand-ins';
import {FakeControl} from './fake-control.js';

/** Options of an agent with an engine stand-in as its target. */
export interface FixtureOptions {
  readonly slots?: number;
  readonly tokenMs?: number;
  readonly fenceChecked?: boolean;
  readonly healthIntervalMs?: number;
  readonly orderLeaseMs?: number;
  readonly loadTimeoutMs?: number;
  readonly maxHeldBytes?: number;
  /** How long the engine keeps a disconnected stream; 0 to disable resuming. */
  readonly resumeMs?: number;
}

/** A started agent. */
export interface StartedAgent {
  readonly task: Task;
  readonly url: string;
}

/** A response as received by an entry. */
export interface AgentResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /**
   * Whether the response ended cleanly and with a trailer that contains its
   * length.
   */
  readonly whole: boolean;
}

/** An attempt to send. */
export interface AttemptOptions {
  readonly model: string;
  readonly request?: string;
  readonly attempt?: number;
  readonly tokens?: number;
  readonly stream?: boolean;
  readonly budgetMs?: number;
  readonly firstByteMs?: number;
  readonly revision?: number;
  readonly repeatable?: boolean;
  /** When the attempt was written, by the entry's clock. */
  readonly written?: ClockTime;
  readonly path?: string;
  /** Number of the last received event, to resume a stream. */
  readonly resumeAfter?: number;
  /** Whether to cancel the attempt. */
  readonly cancel?: boolean;
  /** Replaces the default body. */
  readonly body?: string;
  readonly signal?: AbortSignal;
  /** Called after each chunk with the text received so far. */
  readonly onData?: (text: string) => void;
}

const POLL_MS = 10;
const MAX_WAIT_MS = 30_000;
let requestCount = 0;

/** Settings of the fixture: adapters `a` to `d` with versions `v1` and `v2`. */
export function createFixtureTree(retired = false): SettingsTree {
  const versions = {
    v1: {digest: 'd1', retired},
    v2: {digest: 'd2', retired: false},
  };
  const adapters = Object.fromEntries(
    ['a', 'b', 'c', 'd'].map(name => [name, {settings: {}, versions}]),
  );
  const desk = {
    kind: 'model' as const,
    baseModel: 'base',
    store: 'store',
    settings: {},
    adapters,
  };
  const callao = {settings: {}, services: {desk}};
  return {settings: {}, customers: {callao}};
}

/**
 * An engine stand-in with a weight store and a control, for which agents are
 * started.
 */
export class Fixture {
  readonly control = new FakeControl();
  readonly tasks: Task[] = [];
  engine!: StandIn;
  private store!: StandIn;
  private readonly agent = new http.Agent({keepAlive: true});

  constructor(private readonly options: FixtureOptions = {}) {}

  /** Starts the fixture with one agent. */
  static async start(options: FixtureOptions = {}) {
    const fixture = new Fixture(options);
    await fixture.startTarget();
    const agent = await fixture.startAgent();
    await fixture.waitUntilServing(agent);
    return {fixture, agent};
  }

  async startTarget(): Promise<void> {
    const {
      fenceChecked = true,
      slots = 2,
      tokenMs = 0,
      resumeMs,
    } = this.options;
    await this.control.start(createFixtureTree());
    this.store = await startWeightStore({port: 0, loadsPerSecond: 200});
    this.engine = await startEngine({
      port: 0,
      slots,
      batchLimit: 8,
      storeUrl: this.store.url,
      firstTokenMs: 0,
      tokenMs,
      checksFence: fenceChecked,
      resumeMs,
    });
  }

  /** Starts another agent for the engine. */
  async startAgent(): Promise<StartedAgent> {
    const known = new Set(this.control.members.keys());
    const task = await startAgent(
      {
        id: 'agent',
        zone: 'lima-a',
        host: '127.0.0.1',
        port: 0,
        control: [this.control.url],
        target: 'engine',
        targetUrl: this.engine.url,
        targetKind: 'engine',
        customer: 'callao',
        service: 'desk',
        batchLimit: 8,
        healthIntervalMs: this.options.healthIntervalMs ?? 50,
        loadTimeoutMs: this.options.loadTimeoutMs ?? 5_000,
        fenceChecked: this.options.fenceChecked ?? true,
        orderLeaseMs: this.options.orderLeaseMs ?? 2_000,
        isolatedLoadsPerSecond: 20,
        maxHeldBytes: this.options.maxHeldBytes ?? 1_048_576,
        drainMs: 20_000,
        settleMs: 100,
        logLevel: 'silent',
      },
      () => {},
    );
    this.tasks.push(task);
    const member = await waitUntil(() =>
      [...this.control.members].find(([key]) => !known.has(key)),
    );
    return {task, url: member[1].url};
  }

  /** Waits until an agent accepts attempts. */
  async waitUntilServing(agent: StartedAgent): Promise<void> {
    await waitUntil(async () => {
      const probe = await this.send(agent, {model: 'none@v1'});
      return probe.headers['x-marigoldspur-reason'] === 'unknown_adapter';
    });
  }

  /** Sends an attempt as an entry does. */
  send(agent: StartedAgent, options: AttemptOptions): Promise<AgentResponse> {
    const body = options.body ?? createBody(options);
    return new Promise((resolve, reject) => {
      const request = http.request(
        new URL(options.path ?? '/v1/completions', agent.url),
        {
          method: 'POST',
          agent: this.agent,
          signal: options.signal,
          headers: {
            ...formatHop(createHop(options)),
            ...(options.resumeAfter !== undefined && {
              [HOP_HEADERS.resumeAfter]: String(options.resumeAfter),
            }),
            ...(options.cancel && {[HOP_HEADERS.cancel]: 'true'}),
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          },
        },
      );
      request.on('error', reject);
      request.on('response', response => {
        void readResponse(response, options.onData).then(resolve);
      });
      request.end(body);
    });
  }

  /** Names of the events that an agent recorded. */
  async fetchEvents(agent: StartedAgent): Promise<string[]> {
    const input = encodeURIComponent(JSON.stringify({after: 0, limit: 10_000}));
    const url = `${agent.url}/trpc/process/events?input=${input}`;
    const answer = (await (await fetch(url)).json()) as {
      result: {data: Array<{name: string}>};
    };
    return answer.result.data.map(event => event.name);
  }

  async setFaults(faults: Partial<EngineFaults>): Promise<void> {
    await fetch(`${this.engine.url}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
  }

  async fetchRunRecords(): Promise<RunRecord[]> {
    return (await fetch(`${this.engine.url}/record`)).json() as Promise<
      RunRecord[]
    >;
  }

  /**
   * Returns the orders to the engine, without those that only present a fencing
   * number.
   */
  async fetchOrderRecords(): Promise<OrderRecord[]> {
    const all = (await (
      await fetch(`${this.engine.url}/orders`)
    ).json()) as OrderRecord[];
    return all.filter(order => order.model !== '@');
  }
}

/** Creates the hop data of an attempt. */
export function createHop(options: AttemptOptions): Hop {
  requestCount += 1;
  const model = parseModel(options.model);
  return {
    request: options.request ?? `request-${requestCount}`,
    attempt: options.attempt ?? 1,
    model: model.isOk ? model.value : undefined,
    target: 'engine',
    revision: options.revision ?? 1,
    budgetMs: options.budgetMs ?? 20_000,
    firstByteMs: options.firstByteMs,
    priority: 5,
    repeatable: options.repeatable ?? true,
    written: options.written,
  };
}

/** Waits until `check` returns a value that is neither undefined nor false. */
export async function waitUntil<T>(
  check: () => T | Promise<T>,
): Promise<Exclude<T, undefined | false>> {
  const deadline = performance.now() + MAX_WAIT_MS;
  while (performance.now() < deadline) {
    const value = await check();
    if (value !== undefined && value !== false) {
      return value as Exclude<T, undefined | false>;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`condition was not met in time: ${check.toString()}`);
}

function createBody(options: AttemptOptions): string {
  return JSON.stringify({
    model: options.model,
    prompt: 'p',
    max_tokens: options.tokens ?? 2,
    stream: options.stream ?? false,
  });
}

function readResponse(
  response: http.IncomingMessage,
  onData: (text: string) => void = () => {},
): Promise<AgentResponse> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      onData(Buffer.concat(chunks).toString('utf8'));
    });
    response.on('error', () => {});
    response.on('close', () => {
      const bytes = Buffer.concat(chunks);
      const end = response.trailers['x-marigoldspur-end'];
      resolve({
        status: response.statusCode ?? 0,
        headers: response.headers,
        text: bytes.toString('utf8'),
        whole: response.complete && end === String(bytes.length),
      });
    });
  });
}
