import http from 'node:http';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {openRequest, readBody} from '@marigoldspur/http-link';
import {followCacheEvents, type FollowCacheOptions} from './cache-events.js';
import {
  BOOT_HEADER,
  ENGINE_HEALTH_SCHEMA,
  ENGINE_MODELS_SCHEMA,
  ENGINE_REQUESTS_SCHEMA,
  type EngineHealth,
  type EngineRequest,
  type ResidentAdapter,
} from './engine-messages.js';

/** What an engine lists, and the boot that listed it. */
export interface EngineListing<Item> {
  /** Boot identity; undefined where the engine does not tell. */
  readonly boot?: string;
  readonly items: Item[];
}

/** An engine's confirmation of an order. */
export interface OrderConfirmation {
  /** Boot identity; undefined where the engine does not tell. */
  readonly boot?: string;
}

interface Reply extends OrderConfirmation {
  readonly text: string;
}

const MAX_REPLY_BYTES = 1_048_576;
const HEALTH_TIMEOUT_MS = 1_000;
const FENCE_HEADER = 'x-fencing-number';
const STATUS_CONFLICT = 409;
const STATUS_BAD_REQUEST = 400;
/** An adapter that no tree can name, so that ordering it away changes nothing. */
const NO_ADAPTER = '@';

/** Gives orders to a model engine and reads its state. */
export class EngineClient {
  private readonly agent = new http.Agent({keepAlive: true});

  /** `baseUrl` is the engine's; orders carry `fence()`. */
  constructor(
    private readonly baseUrl: string,
    private readonly fence: () => number,
    private readonly orderTimeoutMs: number,
  ) {}

  /** Reads the engine's health. */
  async health(): Promise<Result<EngineHealth, Fault>> {
    const reply = await this.read('/health');
    return reply.andThen(({text}) => parse(text, ENGINE_HEALTH_SCHEMA));
  }

  /** The adapters that the engine says it holds, each as `adapter@version`. */
  async resident(): Promise<Result<EngineListing<ResidentAdapter>, Fault>> {
    const reply = await this.read('/v1/models');
    return reply.andThen(({text, boot}) =>
      parse(text, ENGINE_MODELS_SCHEMA).map(list => ({
        boot,
        items: list.data,
      })),
    );
  }

  /** The requests that run or wait in the engine. */
  async running(): Promise<Result<EngineListing<EngineRequest>, Fault>> {
    const reply = await this.read('/v1/requests');
    return reply.andThen(({text, boot}) =>
      parse(text, ENGINE_REQUESTS_SCHEMA).map(list => ({
        boot,
        items: list.data,
      })),
    );
  }

  /** Asks the engine to stop a request. */
  abort(id: string): Promise<Result<OrderConfirmation, Fault>> {
    const body = JSON.stringify({request_ids: [id]});
    return this.send('POST', '/v1/abort_requests', body, HEALTH_TIMEOUT_MS);
  }

  /**
   * Orders a load; resolves when the engine says it is done. `UNAVAILABLE` and
   * `TORN_ANSWER` leave open whether it was.
   */
  load(
    model: string,
    digest: string,
  ): Promise<Result<OrderConfirmation, Fault>> {
    return this.order('/v1/load_lora_adapter', {
      lora_name: model,
      lora_path: digest,
    });
  }

  /** Orders an eviction, with the same faults as a load. */
  unload(model: string): Promise<Result<OrderConfirmation, Fault>> {
    return this.order('/v1/unload_lora_adapter', {lora_name: model});
  }

  /** Shows the engine the fencing number with an order that changes nothing. */
  showFence(): Promise<Result<OrderConfirmation, Fault>> {
    return this.unload(NO_ADAPTER);
  }

  /** Follows the events of the engine's prefix cache; resolves with the fault that ended them. */
  followCache(following: FollowCacheOptions): Promise<Fault> {
    return followCacheEvents(this.baseUrl, this.agent, following);
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private read(path: string): Promise<Result<Reply, Fault>> {
    return this.send('GET', path, undefined, HEALTH_TIMEOUT_MS);
  }

  private order(
    path: string,
    body: Readonly<Record<string, string>>,
  ): Promise<Result<OrderConfirmation, Fault>> {
    return this.send('POST', path, JSON.stringify(body), this.orderTimeoutMs);
  }

  private send(
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<Result<Reply, Fault>> {
    return new Promise(resolve => {
      const call = openRequest({
        url: new URL(path, this.baseUrl),
        method,
        agent: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          [FENCE_HEADER]: String(this.fence()),
          ...(body !== undefined && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          }),
        },
      });
      call.on('error', error =>
        resolve(Result.err(new Fault('UNAVAILABLE', error.message))),
      );
      call.on('response', response => {
        void readReply(response).then(resolve);
      });
      call.end(body);
    });
  }
}

async function readReply(
  response: http.IncomingMessage,
): Promise<Result<Reply, Fault>> {
  const body = await readBody(response, MAX_REPLY_BYTES);
  const status = response.statusCode ?? 0;
  const boot = response.headers[BOOT_HEADER];
  return body.andThen(bytes => {
    const text = bytes.toString('utf8');
    return status === 200
      ? Result.ok<Reply, Fault>({text, boot: boot?.toString()})
      : Result.err(new Fault(faultCode(status), `status ${status}: ${text}`));
  });
}

function faultCode(status: number): FaultCode {
  switch (status) {
    case STATUS_CONFLICT:
      return 'FENCED';
    case STATUS_BAD_REQUEST:
      return 'REFUSED';
    default:
      return 'LOAD_FAILED';
  }
}

function parse<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Result<z.infer<Schema>, Fault> {
  const parsed = schema.safeParse(parseJson(text));
  return parsed.success
    ? Result.ok<z.infer<Schema>, Fault>(parsed.data)
    : Result.err(new Fault('INVALID_INPUT', 'unexpected answer of the engine'));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
