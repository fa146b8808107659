import {randomUUID} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {z} from 'zod';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {AdapterShelf} from './adapter-shelf.js';
import {ENGINE_FAULTS_SCHEMA, type EngineFaults} from './engine-faults.js';
import {EngineRun, type RunFaults} from './engine-run.js';
import type {OrderRecord, RunRecord} from './run-record.js';
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
const FREEZE_POLL_MS = 10;

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

const ABORT_SCHEMA = z.object({request_ids: z.array(z.string())});

/** Counted faults, each used up by one. */
type CountedFault = {
  [Name in keyof EngineFaults]: EngineFaults[Name] extends number
    ? Name
    : never;
}[keyof EngineFaults];

/** Starts a stand-in for a model engine: an OpenAI-compatible API with loads of adapters. */
export function startEngine(options: EngineOptions): Promise<StandIn> {
  const engine = new Engine(options);
  return serveStandIn(options.port, (request, response) => {
    void engine.handle(request, response).catch(() => response.destroy());
  });
}

class Engine {
  private boot = randomUUID();
  private readonly shelf = new AdapterShelf();
  private readonly record: RunRecord[] = [];
  private readonly orders: OrderRecord[] = [];
  private readonly runs = new Set<EngineRun>();
  private readonly queue: Array<() => void> = [];
  private readonly storeAgent = new http.Agent({keepAlive: true});
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
    const page = `${request.method} ${request.url}`;
    switch (page) {
      case 'GET /record':
        return sendJson(response, 200, this.record);
      case 'GET /orders':
        return sendJson(response, 200, this.orders);
      case 'POST /faults':
        return this.takeFaults(text, response);
    }
    await this.thawed();
    response.setHeader('x-engine-boot', this.boot);
    switch (page) {
      case 'GET /health':
        return sendJson(response, 200, this.health());
      case 'GET /v1/models':
        return sendJson(response, 200, {
          data: this.shelf.listed().map(id => ({id, object: 'model'})),
        });
      case 'GET /v1/requests':
        return sendJson(response, 200, {
          data: [...this.runs].map(({id, model}) => ({id, model})),
        });
      case 'POST /v1/abort_requests':
        return this.abort(text, response);
      case 'POST /v1/load_lora_adapter':
        return this.load(request, text, response);
      case 'POST /v1/unload_lora_adapter':
        return this.unload(request, text, response);
      case 'POST /v1/chat/completions':
      case 'POST /v1/completions':
        return this.complete(request, text, response);
      default:
        return sendJson(response, 404, {error: 'no such page'});
    }
  }

  private takeFaults(text: string, response: ServerResponse): void {
    this.faults = ENGINE_FAULTS_SCHEMA.parse(JSON.parse(text));
    if (this.faults.restart) {
      this.boot = randomUUID();
      this.shelf.clear();
      this.highestFence = 0;
      this.runs.forEach(run => run.cut());
      this.runs.clear();
      this.queue.splice(0).forEach(wake => wake());
    }
    sendJson(response, 200, {...this.faults, boot: this.boot});
  }

  private async thawed(): Promise<void> {
    while (this.faults.freeze) {
      await pause(FREEZE_POLL_MS);
    }
  }

  private take(name: CountedFault): boolean {
    if (this.faults[name] <= 0) {
      return false;
    }
    this.faults[name] -= 1;
    return true;
  }

  private health() {
    const running = [...this.runs].filter(run => run.started).length;
    return {
      boot: this.boot,
      slots: this.options.slots,
      batchLimit: this.options.batchLimit,
      running,
      waiting: this.runs.size - running,
      loading: this.shelf.loads,
      leaving: this.faults.leaving,
    };
  }

  /** Notes an order; undefined where its fencing number is old. */
  private takeOrder(
    order: 'load' | 'unload',
    model: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): OrderRecord | undefined {
    const fence = Number(request.headers['x-fencing-number'] ?? 0);
    const checks = this.options.checksFence && !this.faults.ignoreFence;
    const inUse = [...this.runs].map(run => run.model);
    const fenced = checks && fence < this.highestFence;
    const record: OrderRecord = {
      order,
      model,
      fence,
      boot: this.boot,
      at: Date.now(),
      inUse,
      evictedInUse: !fenced && order === 'unload' && inUse.includes(model),
      outcome: fenced ? 'fenced' : 'running',
    };
    this.orders.push(record);
    if (fenced) {
      sendJson(response, 409, {error: 'old fencing number'});
      return undefined;
    }
    this.highestFence = Math.max(fence, this.highestFence);
    return record;
  }

  private async load(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const model = ORDER_SCHEMA.parse(JSON.parse(text)).lora_name;
    const order = this.takeOrder('load', model, request, response);
    if (order === undefined) {
      return;
    }
    const {boot} = this;
    const slots = this.options.slots - this.faults.hiddenSlots;
    if (!this.shelf.begin(model, slots)) {
      order.outcome = 'refused';
      sendJson(response, 400, {error: 'no free slot'});
      return;
    }
    const fetched = await this.fetchWeights(model);
    await pause(this.faults.slowLoadMs);
    await this.thawed();
    const cut = boot !== this.boot;
    const good = fetched && !cut && !this.take('failLoads');
    if (!cut) {
      this.shelf.finish(model, good ? this.loadResult() : 'nothing');
    }
    order.outcome = good ? 'done' : 'failed';
    await pause(this.faults.lateConfirmMs);
    if (cut || this.take('loseLoadAnswers')) {
      response.destroy();
      return;
    }
    sendJson(
      response,
      good ? 200 : 503,
      good ? {loaded: model} : {error: 'the load failed'},
    );
  }

  private loadResult(): 'held' | 'half' | 'nothing' {
    if (this.take('lieLoads')) {
      return 'nothing';
    }
    return this.take('halfLoads') ? 'half' : 'held';
  }

  private unload(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): void {
    const model = ORDER_SCHEMA.parse(JSON.parse(text)).lora_name;
    const order = this.takeOrder('unload', model, request, response);
    if (order === undefined) {
      return;
    }
    this.shelf.remove(model);
    order.outcome = 'done';
    if (this.take('loseUnloadAnswers')) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {unloaded: model});
  }

  private abort(text: string, response: ServerResponse): void {
    const {request_ids: ids} = ABORT_SCHEMA.parse(JSON.parse(text));
    for (const run of this.runs) {
      if (ids.includes(run.id) && this.faults.lateCancelMs === 0) {
        run.cancel();
      }
    }
    sendJson(response, 200, {aborted: ids});
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
    if (!this.shelf.serves(call.model)) {
      const message = `model ${call.model} is not loaded`;
      sendJson(response, 404, {error: {message, code: 'model_not_found'}});
      return;
    }
    const record: RunRecord = {
      request: String(request.headers[HOP_HEADERS.request] ?? ''),
      attempt: Number(request.headers[HOP_HEADERS.attempt] ?? 0),
      model: call.model,
      input: JSON.stringify(call.messages ?? call.prompt ?? ''),
      startedAt: Date.now(),
      end: 'running',
      boot: this.boot,
      tokens: [],
    };
    const run = new EngineRun({
      id: String(request.headers['x-request-id'] ?? record.request),
      record,
      response,
      chat: request.url === '/v1/chat/completions',
      stream: call.stream === true,
      tokens: call.max_tokens,
      firstTokenMs: this.options.firstTokenMs,
      tokenMs: this.options.tokenMs,
      batch: () => [...this.runs].filter(each => each.started).length,
      thawed: () => this.thawed(),
    });
    this.runs.add(run);
    try {
      await this.enterBatch(run);
      this.record.push(record);
      if (this.take('failRequests')) {
        record.end = 'failed';
        sendJson(response, 500, {error: {message: 'the engine failed'}});
        return;
      }
      await run.generate(this.runFaults());
    } finally {
      this.runs.delete(run);
      this.queue.shift()?.();
    }
  }

  private runFaults(): RunFaults {
    const cut = this.take('cutAnswers');
    return {
      cutAfterTokens: cut ? this.faults.cutAfterTokens : -1,
      cutAfterBytes: cut ? this.faults.cutAfterBytes : -1,
      dropDone: this.take('dropDone'),
      cross: this.take('crossAnswers'),
      double: this.take('doubleAnswers'),
      lateMs: this.faults.lateAnswerMs,
      lateCancelMs: this.faults.lateCancelMs,
    };
  }

  private async enterBatch(run: EngineRun): Promise<void> {
    const started = () => [...this.runs].filter(each => each.started).length;
    while (started() >= this.options.batchLimit && !run.isCut) {
      await new Promise<void>(resolve => this.queue.push(resolve));
    }
    run.started = true;
  }
}
