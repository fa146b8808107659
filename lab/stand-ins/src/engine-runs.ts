import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {AdapterShelf} from './adapter-shelf.js';
import type {CacheEvents} from './cache-events.js';
import {EngineRun, type RunFaults} from './engine-run.js';
import type {EngineState} from './engine-state.js';
import type {PrefixCache} from './prefix-cache.js';
import {promptText} from './prompt-text.js';
import type {RunRecord} from './run-record.js';
import {sendJson} from './stand-in.js';

/** What the runs of an engine stand-in work with. */
export interface EngineRunsOptions {
  readonly state: EngineState;
  readonly shelf: AdapterShelf;
  readonly cache: PrefixCache;
  readonly cacheEvents: CacheEvents;
  /** Time to prefill a block of a prompt that is not cached, in milliseconds. */
  readonly prefillMs: number;
  /** Requests in one batch at most. */
  readonly batchLimit: number;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** How long a stream without a reader can be resumed, in milliseconds; 0 for not at all. */
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
const STREAM_PAGE = /^GET \/v1\/requests\/([^/]+)\/stream$/;

/** The requests that an engine stand-in runs, and the streams that it keeps for a resume. */
export class EngineRuns {
  readonly record: RunRecord[] = [];
  private readonly runs = new Set<EngineRun>();
  private readonly kept = new Map<string, EngineRun>();
  private readonly queue: Array<() => void> = [];

  constructor(private readonly options: EngineRunsOptions) {}

  /** Requests that run or wait. */
  get listed(): ReadonlyArray<{id: string; model: string}> {
    return [...this.runs].map(({id, model}) => ({id, model}));
  }

  /** Requests in the batch now. */
  get batch(): number {
    return [...this.runs].filter(run => run.started).length;
  }

  /** Cuts all, as a restart does. */
  restart(): void {
    this.runs.forEach(run => run.cut());
    this.runs.clear();
    this.kept.clear();
    this.queue.splice(0).forEach(wake => wake());
  }

  /** Stops requests. */
  abort(text: string, response: ServerResponse): void {
    const {request_ids: ids} = ABORT_SCHEMA.parse(JSON.parse(text));
    for (const run of this.runs) {
      if (ids.includes(run.id)) {
        run.abort(this.options.state.faults.lateCancelMs);
      }
    }
    ids.forEach(id => this.kept.delete(id));
    sendJson(response, 200, {aborted: ids});
  }

  /** Goes on with a stream after the event that its reader had last; false for another page. */
  resume(
    page: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const id = STREAM_PAGE.exec(page)?.[1];
    if (id === undefined) {
      return false;
    }
    const {resumeFault} = this.options.state.faults;
    const run = this.kept.get(decodeURIComponent(id));
    if (run === undefined || resumeFault === 'off') {
      const message = `no stream of request ${id}`;
      sendJson(response, 404, {error: {message, code: 'request_not_found'}});
      return true;
    }
    const after = Number(request.headers['last-event-id'] ?? -1);
    run.resume(response, after, resumeFault, this.runFaults());
    return true;
  }

  /** Runs a completion. */
  async complete(
    request: IncomingMessage,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const {shelf, state} = this.options;
    const call = COMPLETION_SCHEMA.parse(JSON.parse(text));
    if (!shelf.serves(call.model)) {
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
      boot: state.boot,
      tokens: [],
    };
    const id = String(request.headers['x-request-id'] ?? record.request);
    const blocks = this.options.cache.blocksOf(call.model, promptText(call));
    const run = new EngineRun({
      id,
      record,
      response,
      chat: request.url === '/v1/chat/completions',
      stream: call.stream === true,
      tokens: call.max_tokens,
      prefill: () => this.prefill(record, blocks),
      prefilled: () => this.prefilled(id, blocks),
      tokenMs: this.options.tokenMs,
      resumeMs: this.options.resumeMs,
      batch: () => this.batch,
      thawed: () => state.thawed(),
    });
    this.runs.add(run);
    try {
      await this.enterBatch(run);
      this.record.push(record);
      if (state.take('failRequests')) {
        record.end = 'failed';
        sendJson(response, 500, {error: {message: 'the engine failed'}});
        return;
      }
      this.keep(run);
      await run.generate(this.runFaults());
    } finally {
      this.runs.delete(run);
      this.queue.shift()?.();
      this.forgetLater(run);
    }
  }

  /** Time to the first token, which is shorter for cached blocks. */
  private prefill(record: RunRecord, blocks: readonly string[]): number {
    const {cache, firstTokenMs, prefillMs} = this.options;
    const cached = cache.heldOf(blocks);
    record.promptBlocks = blocks.length;
    record.cachedBlocks = cached;
    return firstTokenMs + prefillMs * (blocks.length - cached);
  }

  private prefilled(request: string, blocks: readonly string[]): void {
    const {cache, cacheEvents} = this.options;
    const {removed, stored} = cache.store(blocks);
    if (stored.length > 0) {
      cacheEvents.publish({kind: 'stored', request, blocks});
    }
    if (removed.length > 0) {
      cacheEvents.publish({kind: 'removed', blocks: removed});
    }
  }

  private keep(run: EngineRun): void {
    if (run.isResumable) {
      this.kept.set(run.id, run);
    }
  }

  private forgetLater(run: EngineRun): void {
    const forget = () => {
      if (this.kept.get(run.id) === run) {
        this.kept.delete(run.id);
      }
    };
    setTimeout(forget, this.options.resumeMs).unref();
  }

  private runFaults(): RunFaults {
    const {state} = this.options;
    const cut = state.take('cutAnswers');
    return {
      cutAfterTokens: cut ? state.faults.cutAfterTokens : -1,
      cutAfterBytes: cut ? state.faults.cutAfterBytes : -1,
      dropDone: state.take('dropDone'),
      cross: state.take('crossAnswers'),
      double: state.take('doubleAnswers'),
      lateMs: state.faults.lateAnswerMs,
      lateCancelMs: state.faults.lateCancelMs,
    };
  }

  private async enterBatch(run: EngineRun): Promise<void> {
    while (this.batch >= this.options.batchLimit && !run.isCut) {
      await new Promise<void>(resolve => this.queue.push(resolve));
    }
    run.started = true;
  }
}
