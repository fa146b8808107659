import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {z} from 'zod';
import {readBody} from '@marigoldspur/http-link';
import type {AdapterShelf} from './adapter-shelf.js';
import type {EngineState} from './engine-state.js';
import type {OrderRecord} from './run-record.js';
import {sendJson} from './stand-in.js';

/** What the orders of an engine stand-in work with. */
export interface EngineOrdersOptions {
  readonly state: EngineState;
  readonly shelf: AdapterShelf;
  /** Adapter slots. */
  readonly slots: number;
  /** Base URL of the weight store. */
  readonly storeUrl: string;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFence: boolean;
  /** Adapters of the requests that run now. */
  readonly inUse: () => string[];
}

const MAX_WEIGHTS_BYTES = 67_108_864;

const ORDER_SCHEMA = z.object({
  lora_name: z.string(),
  lora_path: z.string().optional(),
});

/** Takes orders to load and unload adapters, and notes them. */
export class EngineOrders {
  readonly record: OrderRecord[] = [];
  private readonly storeAgent = new http.Agent({keepAlive: true});
  private highestFence = 0;

  constructor(private readonly options: EngineOrdersOptions) {}

  /** Forgets the highest fencing number, as a restart does. */
  restart(): void {
    this.highestFence = 0;
  }

  /** Takes an order to load an adapter. */
  async load(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const {shelf, state} = this.options;
    const {lora_name: model, lora_path: path} = ORDER_SCHEMA.parse(
      JSON.parse(text),
    );
    const order = this.takeOrder('load', model, request, response);
    if (order === undefined) {
      return;
    }
    const {boot} = state;
    const slots = this.options.slots - state.faults.hiddenSlots;
    if (!shelf.begin(model, slots)) {
      order.outcome = 'refused';
      sendJson(response, 400, {error: 'no free slot'});
      return;
    }
    const fetched = await this.fetchWeights(model);
    await pause(state.faults.slowLoadMs);
    await state.thawed();
    const cut = boot !== state.boot;
    const good = fetched && !cut && !state.take('failLoads');
    if (!cut) {
      const digest = good && state.take('wrongLoads') ? 'other-weights' : path;
      shelf.finish(model, good ? this.loadResult() : 'nothing', digest);
    }
    order.outcome = good ? 'done' : 'failed';
    await pause(state.faults.lateConfirmMs);
    if (cut || state.take('loseLoadAnswers')) {
      response.destroy();
      return;
    }
    sendJson(
      response,
      good ? 200 : 503,
      good ? {loaded: model} : {error: 'the load failed'},
    );
  }

  /** Takes an order to unload an adapter. */
  unload(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): void {
    const model = ORDER_SCHEMA.parse(JSON.parse(text)).lora_name;
    const order = this.takeOrder('unload', model, request, response);
    if (order === undefined) {
      return;
    }
    this.options.shelf.remove(model);
    order.outcome = 'done';
    if (this.options.state.take('loseUnloadAnswers')) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {unloaded: model});
  }

  /** Notes an order; undefined where its fencing number is old. */
  private takeOrder(
    order: 'load' | 'unload',
    model: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): OrderRecord | undefined {
    const {checksFence, state} = this.options;
    const fence = Number(request.headers['x-fencing-number'] ?? 0);
    const checks = checksFence && !state.faults.ignoreFence;
    const inUse = this.options.inUse();
    const fenced = checks && fence < this.highestFence;
    const record: OrderRecord = {
      order,
      model,
      fence,
      boot: state.boot,
      at: Date.now(),
      inUse,
      evictedInUse: !fenced && order === 'unload' && inUse.includes(model),
      outcome: fenced ? 'fenced' : 'running',
    };
    this.record.push(record);
    if (fenced) {
      sendJson(response, 409, {error: 'old fencing number'});
      return undefined;
    }
    this.highestFence = Math.max(fence, this.highestFence);
    return record;
  }

  private loadResult(): 'held' | 'half' | 'nothing' {
    const {state} = this.options;
    if (state.take('lieLoads')) {
      return 'nothing';
    }
    return state.take('halfLoads') ? 'half' : 'held';
  }

  private fetchWeights(model: string): Promise<boolean> {
    return new Promise(resolve => {
      const url = new URL(`/adapters/${model}`, this.options.storeUrl);
      const call = http.get(url, {agent: this.storeAgent}, answer => {
        void readBody(answer, MAX_WEIGHTS_BYTES).then(body =>
          resolve(body.isOk && answer.statusCode === 200),
        );
      });
      call.on('error', () => resolve(false));
    });
  }
}
