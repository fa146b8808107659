import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {LoadedAdapters} from './loaded-adapters.js';
import type {CacheEventPublisher} from './cache-event-publisher.js';
import {EngineRun, type RunFaults} from './engine-run.js';
import type {EngineState} from './engine-state.js';
import type {PrefixCache} from './prefix-cache.js';
import {formatPromptText} from './prompt-text.js';
import type {RunRecord} from './run-record.js';
import {sendJson} from './stand-in.js';

/** Options of the run manager of an engine stand-in. */
export interface EngineRunManagerOptions {
  readonly state: EngineState;
  readonly adapters: LoadedAdapters;
  readonly cache: PrefixCache;
  readonly cacheEvents: CacheEventPublisher;
  /** Time to prefill an uncached block of a prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Maximum number of requests in a batch. */
  readonly batchLimit: number;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** Time in which a stream without a reader can be resumed, in milliseconds; 0 disables it. */
  readonly resumeMs: number;
}

const COMPLETION_SCHEMA = z.looseObject({
  model: z.string(),
  stream: z.boolean().optional(),
  max_tokens: z.int().min(1).optional(),
  messages: z
    .array(z.looseObject({role: z.unknown().optional(), content: z.unknown()}))
    .optional(),
  prompt: z.unknown().optional(),
});

const ABORT_SCHEMA = z.object({request_ids: z.array(z.string())});
const STREAM_ROUTE = /^GET \/v1\/requests\/([^/]+)\/stream$/;

/** Runs the requests of an engine stand-in, and keeps streams that can be resumed. */
export class EngineRunManager {
  readonly records: RunRecord[] = [];
  private readonly activeRuns = new Set<EngineRun>();
  private readonly resumableRuns = new Map<string, EngineRun>();
  private readonly batchQueue: Array<() => void> = [];

  constructor(private readonly options: EngineRunManagerOptions) {}

  /** Requests that are running or queued. */
  get activeRequests(): ReadonlyArray<{id: string; model: string}> {
    return [...this.activeRuns].map(({id, model}) => ({id, model}));
  }

  /** Number of requests in the batch. */
  get batchSize(): number {
    return [...this.activeRuns].filter(run => run.isInBatch).length;
  }

  /** Terminates all requests, as an engine restart does. */
  failAll(): void {
    this.activeRuns.forEach(run => run.fail());
    this.activeRuns.clear();
    this.resumableRuns.clear();
    this.batchQueue.splice(0).forEach(resolve => resolve());
  }

  /** Handles an order to abort requests. */
  abort(text: string, response: ServerResponse): void {
    const {request_ids: ids} = ABORT_SCHEMA.parse(JSON.parse(text));
    for (const run of this.activeRuns) {
      if (ids.includes(run.id)) {
        run.abort(this.options.state.faults.lateCancelMs);
      }
    }
    ids.forEach(id => this.resumableRuns.delete(id));
    sendJson(response, 200, {aborted: ids});
  }

  /**
   * Resumes a stream after the last event that its reader received; returns false for
   * other routes.
   */
  resume(
    route: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const id = STREAM_ROUTE.exec(route)?.[1];
    if (id === undefined) {
      return false;
    }
    const {resumeFault} = this.options.state.faults;
    const run = this.resumableRuns.get(decodeURIComponent(id));
    if (run === undefined || resumeFault === 'off') {
      const message = `no stream of request ${id}`;
      sendJson(response, 404, {error: {message, code: 'request_not_found'}});
      return true;
    }
    const after = Number(request.headers['last-event-id'] ?? -1);
    run.resume(response, after, resumeFault, this.consumeRunFaults());
    return true;
  }

  /** Handles a completion request. */
  async complete(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const {adapters, state} = this.options;
    const completion = COMPLETION_SCHEMA.parse(JSON.parse(text));
    if (!adapters.canServe(completion.model)) {
      const message = `model ${completion.model} is not loaded`;
      sendJson(response, 404, {error: {message, code: 'model_not_found'}});
      return;
    }
    const record: RunRecord = {
      request: String(request.headers[HOP_HEADERS.request] ?? ''),
      attempt: Number(request.headers[HOP_HEADERS.attempt] ?? 0),
      model: completion.model,
      input: JSON.stringify(completion.messages ?? completion.prompt ?? ''),
      startedAt: Date.now(),
      end: 'running',
      boot: state.boot,
      tokens: [],
    };
    const id = String(request.headers['x-request-id'] ?? record.request);
    const blocks = this.options.cache.hashBlocks(
      completion.model,
      formatPromptText(completion),
    );
    const run = new EngineRun({
      id,
      record,
      response,
      isChat: request.url === '/v1/chat/completions',
      isStreamed: completion.stream === true,
      tokenCount: completion.max_tokens,
      startPrefill: () => this.startPrefill(record, blocks),
      onPrefilled: () => this.recordPrefill(id, blocks),
      tokenMs: this.options.tokenMs,
      resumeMs: this.options.resumeMs,
      getBatchSize: () => this.batchSize,
      waitWhileFrozen: () => state.waitWhileFrozen(),
    });
    this.activeRuns.add(run);
    try {
      await this.waitForBatchSlot(run);
      this.records.push(record);
      if (state.consumeFault('failRequests')) {
        record.end = 'failed';
        sendJson(response, 500, {error: {message: 'the engine failed'}});
        return;
      }
      this.keepForResume(run);
      await run.generate(this.consumeRunFaults());
    } finally {
      this.activeRuns.delete(run);
      this.batchQueue.shift()?.();
      this.scheduleRemoval(run);
    }
  }

  /** Records how much of the prompt is cached; returns the time to the first token. */
  private startPrefill(record: RunRecord, blocks: readonly string[]): number {
    const {cache, firstTokenMs, prefillMs} = this.options;
    const cached = cache.countCachedPrefix(blocks);
    record.promptBlocks = blocks.length;
    record.cachedBlocks = cached;
    return firstTokenMs + prefillMs * (blocks.length - cached);
  }

  private recordPrefill(request: string, blocks: readonly string[]): void {
    const {cache, cacheEvents} = this.options;
    const {removed, stored} = cache.store(blocks);
    if (stored.length > 0) {
      cacheEvents.publish({kind: 'stored', request, blocks});
    }
    if (removed.length > 0) {
      cacheEvents.publish({kind: 'removed', blocks: removed});
    }
  }

  private keepForResume(run: EngineRun): void {
    if (run.isResumable) {
      this.resumableRuns.set(run.id, run);
    }
  }

  private scheduleRemoval(run: EngineRun): void {
    const forget = () => {
      if (this.resumableRuns.get(run.id) === run) {
        this.resumableRuns.delete(run.id);
      }
    };
    setTimeout(forget, this.options.resumeMs).unref();
  }

  private consumeRunFaults(): RunFaults {
    const {state} = this.options;
    const isCutOff = state.consumeFault('cutAnswers');
    return {
      cutAfterTokens: isCutOff ? state.faults.cutAfterTokens : -1,
      cutAfterBytes: isCutOff ? state.faults.cutAfterBytes : -1,
      shouldOmitEndMarker: state.consumeFault('dropDone'),
      shouldCrossIdentity: state.consumeFault('crossAnswers'),
      shouldDuplicateBody: state.consumeFault('doubleAnswers'),
      responseDelayMs: state.faults.lateAnswerMs,
      cancelDelayMs: state.faults.lateCancelMs,
    };
  }

  private async waitForBatchSlot(run: EngineRun): Promise<void> {
    while (this.batchSize >= this.options.batchLimit && !run.wasTerminated) {
      await new Promise<void>(resolve => this.batchQueue.push(resolve));
    }
    run.isInBatch = true;
  }
}
