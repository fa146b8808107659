import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
  STREAM_END,
  streamEvent,
  wholeAnswer,
  type AnswerIdentity,
} from './completion-text.js';
import type {ResumeFault} from './engine-faults.js';
import type {RunRecord} from './run-record.js';
import {StreamEvents} from './stream-events.js';

/** Faults of one answer. */
export interface RunFaults {
  /** -1 for none. */
  readonly cutAfterTokens: number;
  /** -1 for none. */
  readonly cutAfterBytes: number;
  readonly dropDone: boolean;
  readonly cross: boolean;
  readonly double: boolean;
  readonly lateMs: number;
  readonly lateCancelMs: number;
}

/** What a run works with. */
export interface EngineRunOptions {
  /** Identity of the request at the engine. */
  readonly id: string;
  readonly record: RunRecord;
  readonly response: ServerResponse;
  readonly chat: boolean;
  readonly stream: boolean;
  readonly tokens?: number;
  /** Begins the prefill; gives the time to the first token, in milliseconds. */
  readonly prefill: () => number;
  /** Called when the prompt is in the prefix cache. */
  readonly prefilled: () => void;
  readonly tokenMs: number;
  /** How long a stream without a reader can be resumed, in milliseconds; 0 for not at all. */
  readonly resumeMs: number;
  /** Requests in the batch now. */
  readonly batch: () => number;
  /** Resolves once the engine is not frozen. */
  readonly thawed: () => Promise<void>;
}

const DEFAULT_TOKENS = 8;

/** One request that an engine stand-in runs. */
export class EngineRun {
  started = false;
  private readonly events: StreamEvents | undefined;
  private cutNow = false;
  private abortedForMs: number | undefined;
  private sentBytes = 0;
  private cutAfterBytes = -1;
  private finished = false;

  constructor(private readonly options: EngineRunOptions) {
    const {resumeMs, stream} = options;
    this.events =
      stream && resumeMs > 0
        ? new StreamEvents(this.identity(false), resumeMs)
        : undefined;
  }

  get id(): string {
    return this.options.id;
  }

  get model(): string {
    return this.options.record.model;
  }

  /** Whether its stream goes on without a reader for a while. */
  get isResumable(): boolean {
    return this.events !== undefined;
  }

  /** Whether the run was cut. */
  get isCut(): boolean {
    return this.cutNow;
  }

  /** Breaks the run off, as a restart of the engine does. */
  cut(): void {
    this.breakOff('failed');
  }

  private cancel(): void {
    this.breakOff('cancelled');
  }

  private breakOff(end: 'failed' | 'cancelled'): void {
    this.cutNow = true;
    this.options.record.end = end;
    this.reader?.destroy();
  }

  /** Stops the run as ordered, `lateMs` later. */
  abort(lateMs: number): void {
    if (lateMs === 0) {
      this.cancel();
      return;
    }
    this.abortedForMs = lateMs;
  }

  /** Goes on with another reader after event `after`. */
  resume(
    response: ServerResponse,
    after: number,
    fault: ResumeFault,
    faults: RunFaults,
  ): void {
    const missed = this.events?.resume(response, after, fault) ?? '';
    this.sentBytes = 0;
    this.cutAfterBytes = faults.cutAfterBytes;
    this.send(missed);
    if (this.finished) {
      this.reader?.end();
    }
  }

  /** Makes the tokens and answers with them. */
  async generate(faults: RunFaults): Promise<void> {
    const {record, response, stream} = this.options;
    const identity = this.identity(faults.cross);
    this.cutAfterBytes = faults.cutAfterBytes;
    response.setHeader('x-request-id', identity.id);
    await pause(faults.lateMs);
    if (stream) {
      this.openStream();
    }
    const words: string[] = [];
    const count = this.options.tokens ?? DEFAULT_TOKENS;
    for (let token = 0; token < count; token += 1) {
      await this.tokenTime(token);
      if (await this.ended(token === faults.cutAfterTokens, faults)) {
        return;
      }
      record.tokens?.push({at: Date.now(), batch: this.options.batch()});
      const word = token === 0 ? identity.model : ` w${token}`;
      words.push(word);
      if (stream && !this.sendEvent(streamEvent(identity, word))) {
        return;
      }
    }
    this.finish(identity, words, faults);
  }

  /** The response that takes the answer now; undefined while a resumable stream has no reader. */
  private get reader(): ServerResponse | undefined {
    return this.events === undefined ? this.options.response : this.events.to;
  }

  private openStream(): void {
    const {response} = this.options;
    if (this.events === undefined) {
      response.writeHead(200, {'content-type': 'text/event-stream'});
    } else {
      this.events.open(response);
    }
  }

  private identity(cross: boolean): AnswerIdentity {
    const {id, chat} = this.options;
    return cross
      ? {id: `other-${id}`, model: 'other@v1', chat}
      : {id, model: this.model, chat};
  }

  private async tokenTime(token: number): Promise<void> {
    const {prefill, prefilled, tokenMs, thawed} = this.options;
    const ms = token === 0 ? prefill() : tokenMs;
    if (ms > 0) {
      await pause(ms);
    }
    if (token === 0) {
      prefilled();
    }
    await thawed();
  }

  private async ended(cut: boolean, faults: RunFaults): Promise<boolean> {
    if (this.cutNow) {
      return true;
    }
    if (this.isLeft()) {
      await pause(this.abortedForMs ?? faults.lateCancelMs);
      this.options.record.end = 'cancelled';
      this.cutNow = true;
      this.reader?.destroy();
      return true;
    }
    if (!cut) {
      return false;
    }
    if (this.isResumable) {
      this.reader?.destroy();
      return false;
    }
    this.cut();
    return true;
  }

  /** Whether nobody takes the answer any more. */
  private isLeft(): boolean {
    const {events, options} = this;
    return events === undefined
      ? options.response.destroyed
      : this.abortedForMs !== undefined ||
          events.isAbandoned(performance.now());
  }

  private sendEvent(event: string): boolean {
    return this.send(this.events?.add(event) ?? event);
  }

  /** Sends text; false once the answer is cut for good. */
  private send(text: string): boolean {
    const {reader} = this;
    const bytes = Buffer.from(text);
    const left = this.cutAfterBytes - this.sentBytes;
    if (this.cutAfterBytes >= 0 && bytes.length >= left) {
      this.cutAfterBytes = -1;
      reader?.write(bytes.subarray(0, left), () => reader.destroy());
      return this.cutForGood();
    }
    this.sentBytes += bytes.length;
    reader?.write(bytes);
    return true;
  }

  /** Takes note that the connection is cut; a resumable stream goes on. */
  private cutForGood(): boolean {
    if (this.isResumable) {
      this.events?.leave();
      return true;
    }
    this.options.record.end = 'failed';
    this.cutNow = true;
    return false;
  }

  private finish(
    identity: AnswerIdentity,
    words: readonly string[],
    faults: RunFaults,
  ): void {
    const {record, response, stream} = this.options;
    const whole = stream ? STREAM_END : wholeAnswer(identity, words.join(''));
    if (!stream) {
      response.setHeader('content-type', 'application/json');
      const copies = faults.double ? 2 : 1;
      response.setHeader('content-length', Buffer.byteLength(whole) * copies);
      if (!this.send(whole)) {
        return;
      }
    } else if (!faults.dropDone && !this.sendEvent(whole)) {
      return;
    }
    if (faults.double) {
      const again = words.map(word => streamEvent(identity, word)).join('');
      this.send(stream ? again + whole : whole);
    }
    record.end = 'whole';
    this.finished = true;
    this.reader?.end();
  }
}
