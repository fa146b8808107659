import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {z} from 'zod';
import {readBody} from '@marigoldspur/http-link';
import type {LoadedAdapters} from './loaded-adapters.js';
import type {EngineState} from './engine-state.js';
import type {OrderRecord} from './run-record.js';
import {sendJson} from './stand-in.js';

/** Options of the order handler of an engine stand-in. */
export interface EngineOrderHandlerOptions {
  readonly state: EngineState;
  readonly adapters: LoadedAdapters;
  /** Number of adapter slots. */
  readonly slots: number;
  /** Base URL of the weight store. */
  readonly storeUrl: string;
  /** Whether orders with an old fencing number are rejected. */
  readonly checksFence: boolean;
  /** Returns the adapters of the active requests. */
  readonly listAdaptersInUse: () => string[];
}

const MAX_WEIGHTS_BYTES = 67_108_864;

const ORDER_SCHEMA = z.object({
  lora_name: z.string(),
  lora_path: z.string().optional(),
});

/** Executes and records orders to load and unload adapters. */
export class EngineOrderHandler {
  readonly records: OrderRecord[] = [];
  private readonly storeAgent = new http.Agent({keepAlive: true});
  private highestFence = 0;

  constructor(private readonly options: EngineOrderHandlerOptions) {}

  /** Resets the highest fencing number, as an engine restart does. */
  resetFence(): void {
    this.highestFence = 0;
  }

  /** Handles an order to load an adapter. */
  async load(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const {adapters, state} = this.options;
    // Agents send the digest of the weights as the path.
    const {lora_name: model, lora_path: requestedDigest} = ORDER_SCHEMA.parse(
      JSON.parse(text),
    );
    const order = this.recordOrder('load', model, request, response);
    if (order === undefined) {
      return;
    }
    const {boot} = state;
    const slots = this.options.slots - state.faults.hiddenSlots;
    if (!adapters.startLoad(model, slots)) {
      order.outcome = 'refused';
      sendJson(response, 400, {error: 'no free slot'});
      return;
    }
    const hasWeights = await this.fetchWeights(model);
    await pause(state.faults.slowLoadMs);
    await state.waitWhileFrozen();
    const wasRestarted = boot !== state.boot;
    const isSuccessful =
      hasWeights && !wasRestarted && !state.consumeFault('failLoads');
    if (!wasRestarted) {
      const digest =
        isSuccessful && state.consumeFault('wrongLoads')
          ? 'other-weights'
          : requestedDigest;
      adapters.finishLoad(
        model,
        isSuccessful ? this.consumeLoadOutcome() : 'not-loaded',
        digest,
      );
    }
    order.outcome = isSuccessful ? 'done' : 'failed';
    await pause(state.faults.lateConfirmMs);
    if (wasRestarted || state.consumeFault('loseLoadAnswers')) {
      response.destroy();
      return;
    }
    sendJson(
      response,
      isSuccessful ? 200 : 503,
      isSuccessful ? {loaded: model} : {error: 'the load failed'},
    );
  }

  /** Handles an order to unload an adapter. */
  unload(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): void {
    const model = ORDER_SCHEMA.parse(JSON.parse(text)).lora_name;
    const order = this.recordOrder('unload', model, request, response);
    if (order === undefined) {
      return;
    }
    this.options.adapters.remove(model);
    order.outcome = 'done';
    if (this.options.state.consumeFault('loseUnloadAnswers')) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {unloaded: model});
  }

  /** Records an order; rejects it and returns undefined when its fencing number is old. */
  private recordOrder(
    order: 'load' | 'unload',
    model: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): OrderRecord | undefined {
    const {checksFence, state} = this.options;
    const fence = Number(request.headers['x-fencing-number'] ?? 0);
    const isFenceEnforced = checksFence && !state.faults.ignoreFence;
    const inUse = this.options.listAdaptersInUse();
    const isFenced = isFenceEnforced && fence < this.highestFence;
    const record: OrderRecord = {
      order,
      model,
      fence,
      boot: state.boot,
      at: Date.now(),
      inUse,
      evictedInUse: !isFenced && order === 'unload' && inUse.includes(model),
      outcome: isFenced ? 'fenced' : 'running',
    };
    this.records.push(record);
    if (isFenced) {
      sendJson(response, 409, {error: 'old fencing number'});
      return undefined;
    }
    this.highestFence = Math.max(fence, this.highestFence);
    return record;
  }

  /** Consumes the faults of a load that otherwise succeeded; returns its outcome. */
  private consumeLoadOutcome(): 'loaded' | 'listed-only' | 'not-loaded' {
    const {state} = this.options;
    if (state.consumeFault('lieLoads')) {
      return 'not-loaded';
    }
    return state.consumeFault('halfLoads') ? 'listed-only' : 'loaded';
  }

  private fetchWeights(model: string): Promise<boolean> {
    return new Promise(resolve => {
      const url = new URL(`/adapters/${model}`, this.options.storeUrl);
      const call = http.get(url, {agent: this.storeAgent}, response => {
        void readBody(response, MAX_WEIGHTS_BYTES).then(body =>
          resolve(body.isOk && response.statusCode === 200),
        );
      });
      call.on('error', () => resolve(false));
    });
  }
}
