import http from 'node:http';
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {Result} from 'true-myth';
import type {z} from 'zod';
import type {ControlRouter} from '@marigoldspur/control-api';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {exchangeJson, JsonStream, createFetch} from '@marigoldspur/http-link';
import type {ProcessRouter} from '@marigoldspur/process-api';
import {parseMessage} from './parse-message.js';
import {ReplicaFaults} from './replica-faults.js';
import {runSubscription, type Subscription} from './event-stream.js';

/** A tRPC client of one replica of control. */
export type ReplicaClient = ReturnType<typeof createReplicaClient>;

/** A tRPC client of one process. */
export type ProcessClient = ReturnType<typeof createProcessClient>;

/** Options of a control client. */
export interface ControlClientOptions {
  /** Base URLs of the replicas of control. */
  readonly urls: readonly string[];
  /** Timeout of one attempt at a replica, in milliseconds. */
  readonly timeoutMs?: number;
  /** Agent for the connections; plain HTTP by default. */
  readonly agent?: http.Agent;
  /** Token of an operator; not needed by processes. */
  readonly token?: string;
}

const MAX_PROCESS_CLIENTS = 64;
const MAX_ANSWER_BYTES = 8_388_608;
const DEFAULT_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 50;

/** Calls control: finds the leader and tries other replicas when one is unreachable. */
export class ControlClient {
  private readonly agent: http.Agent;
  private readonly processes = new Map<string, ProcessClient>();
  private readonly replicas = new Map<string, ReplicaClient>();
  private preferred: string;

  constructor(private readonly options: ControlClientOptions) {
    this.preferred = options.urls[0];
    this.agent = options.agent ?? new http.Agent({keepAlive: true});
  }

  /**
   * Calls the leader, trying each replica until `deadlineMs` (a `performance.now()`
   * time). The call must be safe to repeat; commands of control are idempotent by their
   * ID.
   */
  call<T>(
    call: (replica: ReplicaClient, signal: AbortSignal) => Promise<T>,
    deadlineMs: number,
  ): Promise<Result<T, Fault>> {
    return this.tryReplicas(
      (url, timeoutMs) =>
        call(this.replica(url), AbortSignal.timeout(timeoutMs)),
      deadlineMs,
    );
  }

  /**
   * Sends a JSON message to the leader over plain HTTP, with the retries of `call`. Use
   * it for frequent messages: a tRPC call costs its server about four times as much.
   */
  exchange<T>(
    message: {readonly path: string; readonly body: unknown},
    schema: z.ZodType<T>,
    deadlineMs: number,
  ): Promise<Result<T, Fault>> {
    return this.tryReplicas(async (url, timeoutMs) => {
      const answer = await exchangeJson({
        url: new URL(message.path, url),
        body: message.body,
        agent: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
      return parseMessage(schema, answer);
    }, deadlineMs);
  }

  /** Opens a stream of JSON messages to the process at a URL. */
  openStream(url: URL): JsonStream {
    const maxAnswerBytes = MAX_ANSWER_BYTES;
    return new JsonStream({url, agent: this.agent, maxAnswerBytes});
  }

  /**
   * Tries each replica, the presumed leader first, until `send` succeeds or `deadlineMs`
   * (a `performance.now()` time) is reached. `send` must give up after its `timeoutMs`.
   */
  async tryReplicas<T>(
    send: (url: string, timeoutMs: number) => Promise<T>,
    deadlineMs: number,
  ): Promise<Result<T, Fault>> {
    const faults = new ReplicaFaults();
    let attempt = 0;
    while (performance.now() < deadlineMs) {
      const url = this.preferred;
      const attemptTimeoutMs = this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      const remainingMs = deadlineMs - performance.now();
      const timeoutMs = Math.min(attemptTimeoutMs, remainingMs);
      try {
        return Result.ok(await send(url, Math.max(1, Math.ceil(timeoutMs))));
      } catch (thrown) {
        const fault = toFault(thrown);
        faults.record(url, fault, remainingMs < attemptTimeoutMs);
        if (!isRetryable(fault)) {
          return Result.err(fault);
        }
        this.preferred = this.nextReplica(url, fault);
      }
      attempt += 1;
      if (attempt % this.options.urls.length === 0) {
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
    return Result.err(faults.combinedFault());
  }

  /**
   * Opens a subscription to one replica and resolves with the fault that ended it. It
   * ends after `idleTimeoutMs` without data, so that an unreachable host is detected.
   */
  subscribe(
    url: string,
    subscription: Omit<Subscription, 'url' | 'agent' | 'token'>,
  ): Promise<Fault> {
    return runSubscription({
      ...subscription,
      url: `${url}/trpc/control`,
      agent: this.agent,
      token: this.options.token,
    });
  }

  /** Base URLs of the replicas of control. */
  get urls(): readonly string[] {
    return this.options.urls;
  }

  /** Returns the tRPC client of one process, which shares this client's connections. */
  process(url: string): ProcessClient {
    let client = this.processes.get(url);
    if (client === undefined) {
      client = createProcessClient(url, this.agent);
      this.processes.set(url, client);
      if (this.processes.size > MAX_PROCESS_CLIENTS) {
        this.processes.delete(this.processes.keys().next().value!);
      }
    }
    return client;
  }

  /** Returns the tRPC client of one replica. */
  replica(url: string): ReplicaClient {
    let client = this.replicas.get(url);
    if (client === undefined) {
      client = createReplicaClient(url, this.agent, this.options.token);
      this.replicas.set(url, client);
    }
    return client;
  }

  /** Base URL of the replica that is tried first. */
  get preferredUrl(): string {
    return this.preferred;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private nextReplica(tried: string, fault: Fault): string {
    const {urls} = this.options;
    if (fault.code === 'NOT_LEADER' && urls.includes(fault.message)) {
      return fault.message;
    }
    return urls[(urls.indexOf(tried) + 1) % urls.length];
  }
}

function createReplicaClient(url: string, agent: http.Agent, token?: string) {
  return createTRPCClient<ControlRouter>({
    links: [
      httpLink({
        url: `${url}/trpc/control`,
        fetch: createFetch(agent),
        headers: token === undefined ? {} : {authorization: `Bearer ${token}`},
      }),
    ],
  });
}

function createProcessClient(url: string, agent: http.Agent) {
  return createTRPCClient<ProcessRouter>({
    links: [httpLink({url: `${url}/trpc/process`, fetch: createFetch(agent)})],
  });
}

function isRetryable(fault: Fault): boolean {
  return [
    'NOT_LEADER',
    'NO_QUORUM',
    'DISK_FULL',
    'DISK_FAILED',
    'UNAVAILABLE',
    'TIMEOUT',
    'STOPPING',
  ].includes(fault.code);
}

function toFault(thrown: unknown): Fault {
  if (thrown instanceof Fault) {
    return thrown;
  }
  if (thrown instanceof TRPCClientError) {
    const data = thrown.data as
      {fault?: FaultCode; code?: string} | null | undefined;
    if (data?.fault !== undefined) {
      return new Fault(data.fault, thrown.message, {cause: thrown});
    }
    if (data?.code === 'FORBIDDEN') {
      return new Fault('FORBIDDEN', thrown.message, {cause: thrown});
    }
    if (data?.code === 'BAD_REQUEST') {
      return new Fault('INVALID_INPUT', thrown.message, {cause: thrown});
    }
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new Fault('UNAVAILABLE', message, {cause: thrown});
}
