import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody} from '@marigoldspur/http-link';
import {AdapterShelf} from './adapter-shelf.js';
import {CacheEvents} from './cache-events.js';
import {ENGINE_FAULTS_SCHEMA} from './engine-faults.js';
import {EngineOrders} from './engine-orders.js';
import {EngineRuns} from './engine-runs.js';
import {EngineState} from './engine-state.js';
import {PrefixCache} from './prefix-cache.js';
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
  /** How long a stream without a reader can be resumed, in milliseconds; 0 for not at all. */
  readonly resumeMs?: number;
  /** Prompt blocks that the prefix cache holds; 0 for no cache. */
  readonly cacheBlocks?: number;
  /** Characters of a prompt in one block of the prefix cache. */
  readonly blockCharacters?: number;
  /** Time to prefill a block that is not cached, in milliseconds. */
  readonly prefillMs?: number;
  /** Time by which events of the prefix cache come late, in milliseconds. */
  readonly cacheLagMs?: number;
  /** Share of the events of the prefix cache that are never sent, and the seed that chooses them. */
  readonly cacheDropShare?: number;
  readonly cacheDropSeed?: number;
}

const DEFAULT_BLOCK_CHARACTERS = 64;

const MAX_BODY_BYTES = 67_108_864;

/** Starts a stand-in for a model engine: an OpenAI-compatible API with loads of adapters. */
export function startEngine(options: EngineOptions): Promise<StandIn> {
  const engine = new Engine(options);
  return serveStandIn(options.port, (request, response) => {
    void engine.handle(request, response).catch(() => response.destroy());
  });
}

class Engine {
  private readonly state = new EngineState();
  private readonly shelf = new AdapterShelf();
  private readonly runs: EngineRuns;
  private readonly orders: EngineOrders;
  private readonly cache: PrefixCache;
  private readonly cacheEvents: CacheEvents;

  constructor(private readonly options: EngineOptions) {
    const {shelf, state} = this;
    const {prefillMs = 0, resumeMs = 0} = options;
    const cache = new PrefixCache({
      maxBlocks: options.cacheBlocks ?? 0,
      blockCharacters: options.blockCharacters ?? DEFAULT_BLOCK_CHARACTERS,
    });
    const events = {
      lagMs: options.cacheLagMs ?? 0,
      dropShare: options.cacheDropShare ?? 0,
      seed: options.cacheDropSeed ?? 1,
    };
    const cacheEvents = new CacheEvents(events, state);
    this.cache = cache;
    this.cacheEvents = cacheEvents;
    const runs = new EngineRuns({
      ...options,
      ...{cache, cacheEvents, prefillMs, resumeMs, shelf, state},
    });
    const inUse = () => runs.listed.map(run => run.model);
    this.runs = runs;
    this.orders = new EngineOrders({...options, shelf, state, inUse});
  }

  async handle(request: IncomingMessage, response: ServerResponse) {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (body.isErr) {
      response.destroy();
      return;
    }
    const {orders, runs, shelf, state} = this;
    const text = body.value.toString('utf8');
    const page = `${request.method} ${request.url}`;
    switch (page) {
      case 'GET /record':
        return sendJson(response, 200, runs.record);
      case 'GET /orders':
        return sendJson(response, 200, orders.record);
      case 'POST /faults':
        return this.takeFaults(text, response);
    }
    await state.thawed();
    response.setHeader('x-engine-boot', state.boot);
    switch (page) {
      case 'GET /health':
        return sendJson(response, 200, this.health());
      case 'GET /v1/models':
        return sendJson(response, 200, {
          data: shelf.listed().map(id => {
            const digest = shelf.digestOf(id);
            return {id, object: 'model', digest};
          }),
        });
      case 'GET /v1/requests':
        return sendJson(response, 200, {data: runs.listed});
      case 'GET /v1/cache/events':
        return this.cacheEvents.open(response);
      case 'POST /v1/abort_requests':
        return runs.abort(text, response);
      case 'POST /v1/load_lora_adapter':
        return orders.load(request, text, response);
      case 'POST /v1/unload_lora_adapter':
        return orders.unload(request, text, response);
      case 'POST /v1/chat/completions':
      case 'POST /v1/completions':
        return runs.complete(request, text, response);
    }
    if (!runs.resume(page, request, response)) {
      sendJson(response, 404, {error: 'no such page'});
    }
  }

  private takeFaults(text: string, response: ServerResponse): void {
    const {state} = this;
    state.setFaults(ENGINE_FAULTS_SCHEMA.parse(JSON.parse(text)));
    if (state.faults.restart) {
      state.restart();
      this.shelf.clear();
      this.orders.restart();
      this.runs.restart();
      this.cache.clear();
      this.cacheEvents.restart();
    }
    if (state.faults.clearCache) {
      this.cache.clear();
      this.cacheEvents.publish({kind: 'cleared'});
    }
    sendJson(response, 200, {...state.faults, boot: state.boot});
  }

  private health() {
    const {batch, listed} = this.runs;
    return {
      boot: this.state.boot,
      slots: this.options.slots,
      batchLimit: this.options.batchLimit,
      running: batch,
      waiting: listed.length - batch,
      loading: this.shelf.loads,
      leaving: this.state.faults.leaving,
    };
  }
}
