import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
  STREAM_END,
  streamEvent,
  wholeAnswer,
  type AnswerIdentity,
} from './completion-text.js';
import type {RunRecord} from './run-record.js';

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
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /** Requests in the batch now. */
  readonly batch: () => number;
  /** Resolves once the engine is not frozen. */
  readonly thawed: () => Promise<void>;
}

const DEFAULT_TOKENS = 8;

/** One request that an engine stand-in runs. */
export class EngineRun {
  started = false;
  private cutNow = false;
  private sentBytes = 0;

  constructor(private readonly options: EngineRunOptions) {}

  get id(): string {
    return this.options.id;
  }

  get model(): string {
    return this.options.record.model;
  }

  /** Whether the run was cut. */
  get isCut(): boolean {
    return this.cutNow;
  }

  /** Breaks the run off, as a restart of the engine does. */
  cut(): void {
    this.breakOff('failed');
  }

  /** Ends the run on the order of whoever asked for it. */
  cancel(): void {
    this.breakOff('cancelled');
  }

  private breakOff(end: 'failed' | 'cancelled'): void {
    this.cutNow = true;
    this.options.record.end = end;
    this.options.response.destroy();
  }

  /** Makes the tokens and answers with them. */
  async generate(faults: RunFaults): Promise<void> {
    const {record, response, stream} = this.options;
    const identity = this.identity(faults.cross);
    response.setHeader('x-request-id', identity.id);
    await pause(faults.lateMs);
    if (stream) {
      response.writeHead(200, {'content-type': 'text/event-stream'});
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
      if (stream && !this.send(streamEvent(identity, word), faults)) {
        return;
      }
    }
    this.finish(identity, words, faults);
  }

  private identity(cross: boolean): AnswerIdentity {
    const {id, chat} = this.options;
    return cross
      ? {id: `other-${id}`, model: 'other@v1', chat}
      : {id, model: this.model, chat};
  }

  private async tokenTime(token: number): Promise<void> {
    const {firstTokenMs, tokenMs, thawed} = this.options;
    const ms = token === 0 ? firstTokenMs : tokenMs;
    if (ms > 0) {
      await pause(ms);
    }
    await thawed();
  }

  private async ended(cut: boolean, faults: RunFaults): Promise<boolean> {
    const {record, response} = this.options;
    if (this.cutNow) {
      return true;
    }
    if (response.destroyed) {
      await pause(faults.lateCancelMs);
      record.end = 'cancelled';
      return true;
    }
    if (cut) {
      this.cut();
    }
    return cut;
  }

  /** Sends text; false once the answer is cut. */
  private send(text: string, faults: RunFaults): boolean {
    const bytes = Buffer.from(text);
    const left = faults.cutAfterBytes - this.sentBytes;
    if (faults.cutAfterBytes >= 0 && bytes.length >= left) {
      this.options.record.end = 'failed';
      this.cutNow = true;
      const {response} = this.options;
      response.write(bytes.subarray(0, left), () => response.destroy());
      return false;
    }
    this.sentBytes += bytes.length;
    this.options.response.write(bytes);
    return true;
  }

  private finish(
    identity: AnswerIdentity,
    words: readonly string[],
    faults: RunFaults,
  ): void {
    const {record, response, stream} = this.options;
    const whole = stream ? STREAM_END : wholeAnswer(identity, words.join(''));
    const end = stream && faults.dropDone ? '' : whole;
    if (!stream) {
      response.setHeader('content-type', 'application/json');
      const copies = faults.double ? 2 : 1;
      response.setHeader('content-length', Buffer.byteLength(whole) * copies);
    }
    if (end !== '' && !this.send(end, faults)) {
      return;
    }
    if (faults.double) {
      const again = stream
        ? words.map(word => streamEvent(identity, word)).join('') + end
        : end;
      this.send(again, faults);
    }
    record.end = 'whole';
    response.end();
  }
}
