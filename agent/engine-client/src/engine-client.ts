import http from 'node:http';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {
  AnswerPace,
  openRequest,
  TargetHttpAgent,
} from '@marigoldspur/http-link';
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

/** A list that an engine returned, with the boot that returned it. */
export interface EngineListing<Item> {
  /** Boot ID; undefined if the engine does not report it. */
  readonly boot?: string;
  readonly items: Item[];
}

/** An engine's confirmation of an order. */
export interface OrderConfirmation {
  /** Boot ID; undefined if the engine does not report it. */
  readonly boot?: string;
}

interface EngineResponse extends OrderConfirmation {
  readonly text: string;
}

const MAX_RESPONSE_BYTES = 1_048_576;
const READ_TIMEOUT_MS = 1_000;
const FENCE_HEADER = 'x-fencing-number';
const STATUS_CONFLICT = 409;
const STATUS_BAD_REQUEST = 400;
/**
 * A name that no adapter in the settings can have, so that unloading it changes
 * nothing.
 */
const NONEXISTENT_ADAPTER = '@';

/** Sends orders to a model engine and reads its state. */
export class EngineClient {
  private readonly agent = new TargetHttpAgent();
  private readonly answerPace = new AnswerPace();

  /**
   * Sends requests to the engine at `baseUrl` with the fencing number that
   * `fence` returns. An order fails after `orderTimeoutMs` without a response, a
   * read or an abort after one second.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly fence: () => number,
    private readonly orderTimeoutMs: number,
  ) {}

  /** Reads the engine's health status. */
  async readHealth(): Promise<Result<EngineHealth, Fault>> {
    const response = await this.read('/health');
    return response.andThen(({text}) => parse(text, ENGINE_HEALTH_SCHEMA));
  }

  /**
   * Lists the adapters that the engine reports as resident, each identified as
   * `adapter@version`.
   */
  async listAdapters(): Promise<Result<EngineListing<ResidentAdapter>, Fault>> {
    const response = await this.read('/v1/models');
    return response.andThen(({text, boot}) =>
      parse(text, ENGINE_MODELS_SCHEMA).map(list => ({
        boot,
        items: list.data,
      })),
    );
  }

  /** Lists the requests that are running or queued in the engine. */
  async listRequests(): Promise<Result<EngineListing<EngineRequest>, Fault>> {
    const response = await this.read('/v1/requests');
    return response.andThen(({text, boot}) =>
      parse(text, ENGINE_REQUESTS_SCHEMA).map(list => ({
        boot,
        items: list.data,
      })),
    );
  }

  /** Asks the engine to stop a request. */
  abort(id: string): Promise<Result<OrderConfirmation, Fault>> {
    const body = JSON.stringify({request_ids: [id]});
    return this.send('POST', '/v1/abort_requests', body, READ_TIMEOUT_MS);
  }

  /**
   * Loads an adapter and resolves when the engine confirms it. Faults: `FENCED`
   * if the engine has seen a higher fencing number, `REFUSED` and `LOAD_FAILED`.
   * After `UNAVAILABLE` and `TORN_ANSWER` it is unknown whether the adapter was
   * loaded.
   */
  load(
    model: string,
    digest: string,
  ): Promise<Result<OrderConfirmation, Fault>> {
    return this.sendOrder('/v1/load_lora_adapter', {
      lora_name: model,
      lora_path: digest,
    });
  }

  /** Unloads an adapter; fails with the same faults as a load. */
  unload(model: string): Promise<Result<OrderConfirmation, Fault>> {
    return this.sendOrder('/v1/unload_lora_adapter', {lora_name: model});
  }

  /**
   * Presents the fencing number to the engine with an order that changes
   * nothing.
   */
  showFence(): Promise<Result<OrderConfirmation, Fault>> {
    return this.unload(NONEXISTENT_ADAPTER);
  }

  /**
   * Follows the events of the engine's prefix cache and resolves with the fault
   * that ended the stream.
   */
  followCacheEvents(options: FollowCacheOptions): Promise<Fault> {
    return followCacheEvents(this.baseUrl, this.agent, options);
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private read(path: string): Promise<Result<EngineResponse, Fault>> {
    return this.send('GET', path, undefined, READ_TIMEOUT_MS);
  }

  private sendOrder(
    path: string,
    body: Readonly<Record<string, string>>,
  ): Promise<Result<OrderConfirmation, Fault>> {
    return this.send('POST', path, JSON.stringify(body), this.orderTimeoutMs);
  }

  private async send(
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<Result<EngineResponse, Fault>> {
    const admitted = await this.answerPace.admit(performance.now());
    if (admitted.isErr) {
      return Result.err(admitted.error);
    }
    return new Promise(resolve => {
      const request = openRequest({
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
      request.on('error', error =>
        resolve(Result.err(new Fault('UNAVAILABLE', error.message))),
      );
      request.on('response', response => {
        void readResponse(response, this.answerPace).then(resolve);
      });
      request.end(body);
    });
  }
}

async function readResponse(
  response: http.IncomingMessage,
  pace: AnswerPace,
): Promise<Result<EngineResponse, Fault>> {
  const body = await pace.read(response, MAX_RESPONSE_BYTES);
  const status = response.statusCode ?? 0;
  const boot = response.headers[BOOT_HEADER];
  return body.andThen(bytes => {
    const text = bytes.toString('utf8');
    return status === 200
      ? Result.ok<EngineResponse, Fault>({text, boot: boot?.toString()})
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
    : Result.err(
        new Fault(
          'INVALID_INPUT',
          'the engine returned an unexpected response',
        ),
      );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
