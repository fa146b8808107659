import {randomUUID} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {z} from 'zod';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {ENGINE_FAULTS_SCHEMA, type EngineFaults} from './engine-faults.js';
import type {RunRecord} from './run-record.js';
import {sendJson, serveStandIn, type StandIn} from './stand-in.js';

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly port: number;
  /** Adapter slots. */
  readonly slots: number;
  /** Requests in one batch at most. */
  readonly batchLimit: number;
  /** Base URL of the weight store. */
  readonly storeUrl: string;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFence: boolean;
}

const MAX_BODY_BYTES = 67_108_864;
const DEFAULT_TOKENS = 8;

const COMPLETION_SCHEMA = z.looseObject({
  model: z.string(),
  stream: z.boolean().optional(),
  max_tokens: z.int().min(1).optional(),
  messages: z.array(z.looseObject({content: z.unknown()})).optional(),
  prompt: z.unknown().optional(),
});

const ORDER_SCHEMA = z.object({
  lora_name: z.string(),
  lora_path: z.string().optional(),
});

/** Starts a stand-in for a model engine: an OpenAI-compatible API with loads of adapters. */
export function startEngine(options: EngineOptions): Promise<StandIn> {
  const engine = new Engine(options);
  return serveStandIn(
    options.port,
    (request, response) => void engine.handle(request, response),
  );
}

class Engine {
  private readonly boot = randomUUID();
  private readonly held = new Set<string>();
  private readonly record: RunRecord[] = [];
  private readonly waiting: Array<() => void> = [];
  private readonly storeAgent = new http.Agent({keepAlive: true});
  private running = 0;
  private highestFence = 0;
  private faults: EngineFaults = ENGINE_FAULTS_SCHEMA.parse({});

  constructor(private readonly options: EngineOptions) {}

  async handle(request: IncomingMessage, response: ServerResponse) {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (body.isErr) {
      response.destroy();
      return;
    }
    const text = body.value.toString('utf8');
    switch (`${request.method} ${request.url}`) {
      case 'GET /health':
        return sendJson(response, 200, this.health());
      case 'GET /v1/models':
        return sendJson(response, 200, {
          data: [...this.held].map(id => ({id, object: 'model'})),
        });
      case 'GET /record':
        return sendJson(response, 200, this.record);
      case 'POST /faults':
        this.faults = ENGINE_FAULTS_SCHEMA.parse(JSON.parse(text));
        return sendJson(response, 200, this.faults);
      case 'POST /v1/load_lora_adapter':
        return this.order(request, response, () => this.load(text, response));
      case 'POST /v1/unload_lora_adapter':
        return this.order(request, response, () => this.unload(text, response));
      case 'POST /v1/chat/completions':
      case 'POST /v1/completions':
        return this.complete(request, text, response);
      default:
        return sendJson(response, 404, {error: 'no such page'});
    }
  }

  private health() {
    return {
      boot: this.boot,
      slots: this.options.slots,
      batchLimit: this.options.batchLimit,
      running: this.running,
      waiting: this.waiting.length,
    };
  }

  private async order(
    request: IncomingMessage,
    response: ServerResponse,
    run: () => void | Promise<void>,
  ): Promise<void> {
    const fence = Number(request.headers['x-fencing-number'] ?? 0);
    if (this.options.checksFence && fence < this.highestFence) {
      sendJson(response, 409, {error: 'old fencing number'});
      return;
    }
    this.highestFence = Math.max(fence, this.highestFence);
    await run();
  }

  private async load(text: string, response: ServerResponse): Promise<void> {
    const order = ORDER_SCHEMA.parse(JSON.parse(text));
    if (
      this.held.size >= this.options.slots &&
      !this.held.has(order.lora_name)
    ) {
      sendJson(response, 400, {error: 'no free slot'});
      return;
    }
    const fetched = await this.fetchWeights(order.lora_name);
    if (!fetched || this.faults.failLoads > 0) {
      this.faults.failLoads = Math.max(0, this.faults.failLoads - 1);
      sendJson(response, 503, {error: 'the load failed'});
      return;
    }
    if (this.faults.lieLoads > 0) {
      this.faults.lieLoads -= 1;
    } else {
      this.held.add(order.lora_name);
    }
    sendJson(response, 200, {loaded: order.lora_name});
  }

  private unload(text: string, response: ServerResponse): void {
    const order = ORDER_SCHEMA.parse(JSON.parse(text));
    this.held.delete(order.lora_name);
    sendJson(response, 200, {unloaded: order.lora_name});
  }

  private fetchWeights(model: string): Promise<boolean> {
    return new Promise(resolve => {
      const url = new URL(`/adapters/${model}`, this.options.storeUrl);
      const call = http.get(url, {agent: this.storeAgent}, answer => {
        void readBody(answer, MAX_BODY_BYTES).then(body =>
          resolve(body.isOk && answer.statusCode === 200),
        );
      });
      call.on('error', () => resolve(false));
    });
  }

  private async complete(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const call = COMPLETION_SCHEMA.parse(JSON.parse(text));
    if (!this.held.has(call.model)) {
      sendJson(response, 404, {error: `model ${call.model} is not loaded`});
      return;
    }
    await this.enterBatch();
    const run: RunRecord = {
      request: String(request.headers[HOP_HEADERS.request] ?? ''),
      attempt: Number(request.headers[HOP_HEADERS.attempt] ?? 0),
      model: call.model,
      input: JSON.stringify(call.messages ?? call.prompt ?? ''),
      startedAt: Date.now(),
      end: 'running',
    };
    this.record.push(run);
    try {
      await this.generate(call, run, request.url ?? '', response);
    } finally {
      this.leaveBatch();
    }
  }

  private async generate(
    call: z.infer<typeof COMPLETION_SCHEMA>,
    run: RunRecord,
    url: string,
    response: ServerResponse,
  ): Promise<void> {
    const tokens = call.max_tokens ?? DEFAULT_TOKENS;
    const words: string[] = [];
    const cutAt = this.faults.cutAnswers > 0 ? this.faults.cutAfterTokens : -1;
    if (cutAt >= 0) {
      this.faults.cutAnswers -= 1;
    }
    if (call.stream === true) {
      response.writeHead(200, {'content-type': 'text/event-stream'});
    }
    for (let token = 0; token < tokens; token += 1) {
      await pause(
        token === 0 ? this.options.firstTokenMs : this.options.tokenMs,
      );
      if (response.destroyed || token === cutAt) {
        run.end = response.destroyed ? 'cancelled' : 'failed';
        response.destroy();
        return;
      }
      const word = token === 0 ? call.model : ` w${token}`;
      words.push(word);
      if (call.stream === true) {
        response.write(
          `data: ${JSON.stringify(chunk(url, call.model, run, word))}\n\n`,
        );
      }
    }
    run.end = 'whole';
    if (call.stream === true) {
      response.end('data: [DONE]\n\n');
      return;
    }
    sendJson(response, 200, completion(url, call.model, run, words.join('')));
  }

  private async enterBatch(): Promise<void> {
    if (this.running >= this.options.batchLimit) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
    this.running += 1;
  }

  private leaveBatch(): void {
    this.running -= 1;
    this.waiting.shift()?.();
  }
}

function chunk(url: string, model: string, run: RunRecord, word: string) {
  const chat = url.startsWith('/v1/chat');
  const choice = chat
    ? {index: 0, delta: {role: 'assistant', content: word}, finish_reason: null}
    : {index: 0, text: word, finish_reason: null};
  const object = chat ? 'chat.completion.chunk' : 'text_completion';
  return {id: run.request, object, created: 0, model, choices: [choice]};
}

function completion(url: string, model: string, run: RunRecord, text: string) {
  const chat = url.startsWith('/v1/chat');
  const choice = chat
    ? {
        index: 0,
        message: {role: 'assistant', content: text},
        finish_reason: 'stop',
      }
    : {index: 0, text, finish_reason: 'stop'};
  const object = chat ? 'chat.completion' : 'text_completion';
  return {id: run.request, object, created: 0, model, choices: [choice]};
}
