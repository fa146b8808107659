import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody} from '@marigoldspur/http-link';
import {LoadedAdapters} from './loaded-adapters.js';
import {CacheEventPublisher} from './cache-event-publisher.js';
import {ENGINE_FAULTS_SCHEMA} from './engine-faults.js';
import {EngineOrderHandler} from './engine-order-handler.js';
import {EngineRunManager} from './engine-run-manager.js';
import {EngineState} from './engine-state.js';
import {PrefixCache} from './prefix-cache.js';
import {sendJson, serveStandIn, type StandIn} from './stand-in.js';

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly port: number;
  /** Number of adapter slots. */
  readonly slots: number;
  /** Maximum number of requests in a batch. */
  readonly batchLimit: number;
  /** Base URL of the weight store. */
  readonly storeUrl: string;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** Whether orders with an old fencing number are rejected. */
  readonly checksFence: boolean;
  /** Time in which a stream without a reader can be resumed, in milliseconds; 0 disables it. */
  readonly resumeMs?: number;
  /** Capacity of the prefix cache in prompt blocks; 0 disables the cache. */
  readonly cacheBlocks?: number;
  /** Prompt characters in a block of the prefix cache. */
  readonly blockCharacters?: number;
  /** Time to prefill an uncached block, in milliseconds. */
  readonly prefillMs?: number;
  /** Delay of the prefix cache events, in milliseconds. */
  readonly cacheLagMs?: number;
  /** Fraction of the prefix cache events that are dropped. */
  readonly cacheDropShare?: number;
  /** Seed that selects the dropped events. */
  readonly cacheDropSeed?: number;
}

const DEFAULT_BLOCK_CHARACTERS = 64;

const MAX_BODY_BYTES = 67_108_864;

/** Starts a stand-in for a model engine: an OpenAI-compatible API that can load adapters. */
export function startEngine(options: EngineOptions): Promise<StandIn> {
  const engine = new Engine(options);
  return serveStandIn(options.port, (request, response) => {
    void engine.handle(request, response).catch(() => response.destroy());
  });
}

class Engine {
  private readonly state = new EngineState();
  private readonly adapters = new LoadedAdapters();
  private readonly runManager: EngineRunManager;
  private readonly orderHandler: EngineOrderHandler;
  private readonly cache: PrefixCache;
  private readonly cacheEvents: CacheEventPublisher;

  constructor(private readonly options: EngineOptions) {
    const {adapters, state} = this;
    const {prefillMs = 0, resumeMs = 0} = options;
    const cache = new PrefixCache({
      maxBlocks: options.cacheBlocks ?? 0,
      blockCharacters: options.blockCharacters ?? DEFAULT_BLOCK_CHARACTERS,
    });
    const eventOptions = {
      delayMs: options.cacheLagMs ?? 0,
      dropShare: options.cacheDropShare ?? 0,
      seed: options.cacheDropSeed ?? 1,
    };
    const cacheEvents = new CacheEventPublisher(eventOptions, state);
    this.cache = cache;
    this.cacheEvents = cacheEvents;
    const runManager = new EngineRunManager({
      ...options,
      ...{cache, cacheEvents, prefillMs, resumeMs, adapters, state},
    });
    const listAdaptersInUse = () =>
      runManager.activeRequests.map(run => run.model);
    this.runManager = runManager;
    this.orderHandler = new EngineOrderHandler({
      ...options,
      adapters,
      state,
      listAdaptersInUse,
    });
  }

  async handle(request: IncomingMessage, response: ServerResponse) {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (body.isErr) {
      response.destroy();
      return;
    }
    const {orderHandler, runManager, adapters, state} = this;
    const text = body.value.toString('utf8');
    const route = `${request.method} ${request.url}`;
    switch (route) {
      case 'GET /record':
        return sendJson(response, 200, runManager.records);
      case 'GET /orders':
        return sendJson(response, 200, orderHandler.records);
      case 'POST /faults':
        return this.applyFaults(text, response);
    }
    await state.waitWhileFrozen();
    response.setHeader('x-engine-boot', state.boot);
    switch (route) {
      case 'GET /health':
        return sendJson(response, 200, this.describeHealth());
      case 'GET /v1/models':
        return sendJson(response, 200, {
          data: adapters.listIds().map(id => {
            const digest = adapters.findDigest(id);
            return {id, object: 'model', digest};
          }),
        });
      case 'GET /v1/requests':
        return sendJson(response, 200, {data: runManager.activeRequests});
      case 'GET /v1/cache/events':
        return this.cacheEvents.subscribe(response);
      case 'POST /v1/abort_requests':
        return runManager.abort(text, response);
      case 'POST /v1/load_lora_adapter':
        return orderHandler.load(request, text, response);
      case 'POST /v1/unload_lora_adapter':
        return orderHandler.unload(request, text, response);
      case 'POST /v1/chat/completions':
      case 'POST /v1/completions':
        return runManager.complete(request, text, response);
    }
    if (!runManager.resume(route, request, response)) {
      sendJson(response, 404, {error: 'unknown route'});
    }
  }

  private applyFaults(text: string, response: ServerResponse): void {
    const {state} = this;
    state.setFaults(ENGINE_FAULTS_SCHEMA.parse(JSON.parse(text)));
    if (state.faults.restart) {
      state.startNewBoot();
      this.adapters.clear();
      this.orderHandler.resetFence();
      this.runManager.failAll();
      this.cache.clear();
      this.cacheEvents.restart();
    }
    if (state.faults.clearCache) {
      this.cache.clear();
      this.cacheEvents.publish({kind: 'cleared'});
    }
    sendJson(response, 200, {...state.faults, boot: state.boot});
  }

  private describeHealth() {
    const {batchSize, activeRequests} = this.runManager;
    return {
      boot: this.state.boot,
      slots: this.options.slots,
      batchLimit: this.options.batchLimit,
      running: batchSize,
      waiting: activeRequests.length - batchSize,
      loading: this.adapters.loadCount,
      leaving: this.state.faults.leaving,
    };
  }
}
