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
export type ReplicaClient = ReturnType<typeof replicaClient>;

/** A tRPC client of one process. */
export type ProcessClient = ReturnType<typeof processClient>;

/** Options of a control client. */
export interface ControlClientOptions {
  /** Base URLs of the replicas of control. */
  readonly urls: readonly string[];
  /** Longest time of one call that does not wait, in milliseconds. */
  readonly timeoutMs?: number;
  /** Makes the connections; plain HTTP without it. */
  readonly agent?: http.Agent;
  /** Token of an operator; processes need none. */
  readonly token?: string;
}

const MAX_PROCESS_CLIENTS = 64;
const MAX_ANSWER_BYTES = 8_388_608;
const DEFAULT_TIMEOUT_MS = 2_000;
const RETRY_PAUSE_MS = 50;

/** Calls control: finds the leader, and turns to another replica when one is out of reach. */
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
   * time). Only calls that may be repeated belong here: each command of control is
   * idempotent by its identity.
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
   * Sends the leader a JSON message over plain HTTP, as `call` does. It is for what is
   * sent often: a call of tRPC costs its server some four times as much.
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

  /** Opens a stream of JSON messages to one process. */
  openStream(url: URL): JsonStream {
    const maxAnswerBytes = MAX_ANSWER_BYTES;
    return new JsonStream({url, agent: this.agent, maxAnswerBytes});
  }

  /**
   * Tries each replica, the leader first, until `send` gets an answer or `deadlineMs`
   * (a `performance.now()` time). `send` is to give up after the time it is told.
   */
  async tryReplicas<T>(
    send: (url: string, timeoutMs: number) => Promise<T>,
    deadlineMs: number,
  ): Promise<Result<T, Fault>> {
    const faults = new ReplicaFaults();
    let attempt = 0;
    while (performance.now() < deadlineMs) {
      const url = this.preferred;
      const timeoutMs = Math.min(
        this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
        deadlineMs - performance.now(),
      );
      try {
        return Result.ok(await send(url, Math.max(1, Math.ceil(timeoutMs))));
      } catch (thrown) {
        const fault = faultOf(thrown);
        faults.record(url, fault);
        if (!isWorthRetry(fault)) {
          return Result.err(fault);
        }
        this.preferred = this.nextReplica(url, fault);
      }
      attempt += 1;
      if (attempt % this.options.urls.length === 0) {
        await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
      }
    }
    return Result.err(faults.toFault());
  }

  /**
   * Opens a subscription of one replica and resolves with the fault that ended it.
   * Silence for `stallMs` ends it, so that a cut host is noticed.
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

  /** The client of one process, over the same connections. */
  process(url: string): ProcessClient {
    let client = this.processes.get(url);
    if (client === undefined) {
      client = processClient(url, this.agent);
      this.processes.set(url, client);
      if (this.processes.size > MAX_PROCESS_CLIENTS) {
        this.processes.delete(this.processes.keys().next().value!);
      }
    }
    return client;
  }

  /** The client of one replica. */
  replica(url: string): ReplicaClient {
    let client = this.replicas.get(url);
    if (client === undefined) {
      client = replicaClient(url, this.agent, this.options.token);
      this.replicas.set(url, client);
    }
    return client;
  }

  /** The replica that calls go to first. */
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

function replicaClient(url: string, agent: http.Agent, token?: string) {
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

function processClient(url: string, agent: http.Agent) {
  return createTRPCClient<ProcessRouter>({
    links: [httpLink({url: `${url}/trpc/process`, fetch: createFetch(agent)})],
  });
}

function isWorthRetry(fault: Fault): boolean {
  return [
    'NOT_LEADER',
    'NO_QUORUM',
    'UNAVAILABLE',
    'TIMEOUT',
    'STOPPING',
  ].includes(fault.code);
}

function faultOf(thrown: unknown): Fault {
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
