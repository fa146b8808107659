import http from 'node:http';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {openRequest, readBody} from '@marigoldspur/http-link';
import {
  ENGINE_HEALTH_SCHEMA,
  ENGINE_MODELS_SCHEMA,
  type EngineHealth,
} from './engine-messages.js';

const MAX_REPLY_BYTES = 1_048_576;
const HEALTH_TIMEOUT_MS = 1_000;
const FENCE_HEADER = 'x-fencing-number';
const STATUS_CONFLICT = 409;

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
  health(): Promise<Result<EngineHealth, Fault>> {
    return this.read('/health', ENGINE_HEALTH_SCHEMA);
  }

  /** The adapters that the engine says it holds, as `adapter@version`. */
  async resident(): Promise<Result<string[], Fault>> {
    const models = await this.read('/v1/models', ENGINE_MODELS_SCHEMA);
    return models.map(list => list.data.map(model => model.id));
  }

  /** Orders a load; resolves when the engine says it is done. */
  load(model: string, digest: string): Promise<Result<unknown, Fault>> {
    return this.order('/v1/load_lora_adapter', {
      lora_name: model,
      lora_path: digest,
    });
  }

  /** Orders an eviction. */
  unload(model: string): Promise<Result<unknown, Fault>> {
    return this.order('/v1/unload_lora_adapter', {lora_name: model});
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async read<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Fault>> {
    const reply = await this.send('GET', path, undefined, HEALTH_TIMEOUT_MS);
    return reply.andThen(text => {
      const parsed = schema.safeParse(parseJson(text));
      return parsed.success
        ? Result.ok<z.infer<Schema>, Fault>(parsed.data)
        : Result.err(new Fault('INVALID_INPUT', `${path}: unexpected answer`));
    });
  }

  private order(
    path: string,
    body: Readonly<Record<string, string>>,
  ): Promise<Result<unknown, Fault>> {
    return this.send('POST', path, JSON.stringify(body), this.orderTimeoutMs);
  }

  private send(
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<Result<string, Fault>> {
    return new Promise(resolve => {
      const call = openRequest({
        url: new URL(path, this.baseUrl),
        method,
        agent: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          [FENCE_HEADER]: String(this.fence()),
          ...(body !== undefined && {'content-type': 'application/json'}),
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
): Promise<Result<string, Fault>> {
  const body = await readBody(response, MAX_REPLY_BYTES);
  const status = response.statusCode ?? 0;
  return body.andThen(bytes => {
    const text = bytes.toString('utf8');
    return status === 200
      ? Result.ok<string, Fault>(text)
      : Result.err(new Fault(faultCode(status), `status ${status}: ${text}`));
  });
}

function faultCode(status: number): FaultCode {
  return status === STATUS_CONFLICT ? 'FENCED' : 'LOAD_FAILED';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
