import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
  STREAM_END,
  formatStreamEvent,
  formatCompletion,
  type ResponseIdentity,
} from './completion-text.js';
import type {ResumeFault} from './engine-faults.js';
import type {RunRecord} from './run-record.js';
import {ResumableStream} from './resumable-stream.js';

/** Faults of one response. */
export interface RunFaults {
  /** Number of tokens after which the response is cut off; -1 disables it. */
  readonly cutAfterTokens: number;
  /** Number of bytes after which the response is cut off; -1 disables it. */
  readonly cutAfterBytes: number;
  /** Whether a stream ends cleanly without the end marker. */
  readonly shouldOmitEndMarker: boolean;
  /** Whether the response carries the ID and model of another request. */
  readonly shouldCrossIdentity: boolean;
  /** Whether the body is sent twice. */
  readonly shouldDuplicateBody: boolean;
  /** Delay before the response, in milliseconds. */
  readonly responseDelayMs: number;
  /** Time for which the run continues after the caller disconnects, in milliseconds. */
  readonly cancelDelayMs: number;
}

/** Options of a run. */
export interface EngineRunOptions {
  /** Request ID at the engine. */
  readonly id: string;
  readonly record: RunRecord;
  readonly response: ServerResponse;
  readonly isChat: boolean;
  readonly isStreamed: boolean;
  /** Number of tokens to generate; 8 by default. */
  readonly tokenCount?: number;
  /** Starts the prefill; returns the time to the first token, in milliseconds. */
  readonly startPrefill: () => number;
  /** Called when the prefill is complete. */
  readonly onPrefilled: () => void;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** Time in which a stream without a reader can be resumed, in milliseconds; 0 disables it. */
  readonly resumeMs: number;
  /** Returns the number of requests in the batch. */
  readonly getBatchSize: () => number;
  /** Resolves when the engine is not frozen. */
  readonly waitWhileFrozen: () => Promise<void>;
}

const DEFAULT_TOKEN_COUNT = 8;

/** A request that an engine stand-in runs. */
export class EngineRun {
  isInBatch = false;
  private readonly resumableStream: ResumableStream | undefined;
  private isTerminated = false;
  private abortDelayMs: number | undefined;
  private sentBytes = 0;
  private cutAfterBytes = -1;
  private isFinished = false;

  constructor(private readonly options: EngineRunOptions) {
    const {resumeMs, isStreamed} = options;
    this.resumableStream =
      isStreamed && resumeMs > 0
        ? new ResumableStream(this.createIdentity(false), resumeMs)
        : undefined;
  }

  get id(): string {
    return this.options.id;
  }

  get model(): string {
    return this.options.record.model;
  }

  /** Whether the run continues without a reader for the resume window. */
  get isResumable(): boolean {
    return this.resumableStream !== undefined;
  }

  /** Whether the run was terminated before its end. */
  get wasTerminated(): boolean {
    return this.isTerminated;
  }

  /** Terminates the run as failed, as an engine restart does. */
  fail(): void {
    this.terminate('failed');
  }

  private cancel(): void {
    this.terminate('cancelled');
  }

  private terminate(end: 'failed' | 'cancelled'): void {
    this.isTerminated = true;
    this.options.record.end = end;
    this.reader?.destroy();
  }

  /** Cancels the run after `delayMs`. */
  abort(delayMs: number): void {
    if (delayMs === 0) {
      this.cancel();
      return;
    }
    this.abortDelayMs = delayMs;
  }

  /**
   * Continues the stream with a new reader after the event with the number `after`. Of
   * `faults`, only `cutAfterBytes` applies.
   */
  resume(
    response: ServerResponse,
    after: number,
    fault: ResumeFault,
    faults: RunFaults,
  ): void {
    const missed = this.resumableStream?.resume(response, after, fault) ?? '';
    this.sentBytes = 0;
    this.cutAfterBytes = faults.cutAfterBytes;
    this.send(missed);
    if (this.isFinished) {
      this.reader?.end();
    }
  }

  /** Generates the tokens and sends the response. */
  async generate(faults: RunFaults): Promise<void> {
    const {record, response, isStreamed} = this.options;
    const identity = this.createIdentity(faults.shouldCrossIdentity);
    this.cutAfterBytes = faults.cutAfterBytes;
    response.setHeader('x-request-id', identity.id);
    await pause(faults.responseDelayMs);
    if (isStreamed) {
      this.startStream();
    }
    const words: string[] = [];
    const count = this.options.tokenCount ?? DEFAULT_TOKEN_COUNT;
    for (let token = 0; token < count; token += 1) {
      await this.waitForToken(token);
      if (await this.terminateIfDue(token === faults.cutAfterTokens, faults)) {
        return;
      }
      record.tokens?.push({at: Date.now(), batch: this.options.getBatchSize()});
      const word = token === 0 ? identity.model : ` w${token}`;
      words.push(word);
      if (isStreamed && !this.sendEvent(formatStreamEvent(identity, word))) {
        return;
      }
    }
    this.finish(identity, words, faults);
  }

  /** The HTTP response to write to; undefined while a resumable stream has no reader. */
  private get reader(): ServerResponse | undefined {
    return this.resumableStream === undefined
      ? this.options.response
      : this.resumableStream.activeReader;
  }

  private startStream(): void {
    const {response} = this.options;
    if (this.resumableStream === undefined) {
      response.writeHead(200, {'content-type': 'text/event-stream'});
    } else {
      this.resumableStream.attachReader(response);
    }
  }

  private createIdentity(isCrossed: boolean): ResponseIdentity {
    const {id, isChat} = this.options;
    return isCrossed
      ? {id: `other-${id}`, model: 'other@v1', isChat}
      : {id, model: this.model, isChat};
  }

  private async waitForToken(token: number): Promise<void> {
    const {startPrefill, onPrefilled, tokenMs, waitWhileFrozen} = this.options;
    const ms = token === 0 ? startPrefill() : tokenMs;
    if (ms > 0) {
      await pause(ms);
    }
    if (token === 0) {
      onPrefilled();
    }
    await waitWhileFrozen();
  }

  /** Applies a cancellation or cut-off that is due; returns whether the run has ended. */
  private async terminateIfDue(
    isCutOff: boolean,
    faults: RunFaults,
  ): Promise<boolean> {
    if (this.isTerminated) {
      return true;
    }
    if (this.isAbandoned()) {
      await pause(this.abortDelayMs ?? faults.cancelDelayMs);
      this.options.record.end = 'cancelled';
      this.isTerminated = true;
      this.reader?.destroy();
      return true;
    }
    if (!isCutOff) {
      return false;
    }
    if (this.isResumable) {
      this.reader?.destroy();
      return false;
    }
    this.fail();
    return true;
  }

  /** Whether no reader will receive the rest of the response. */
  private isAbandoned(): boolean {
    const {resumableStream, options} = this;
    return resumableStream === undefined
      ? options.response.destroyed
      : this.abortDelayMs !== undefined ||
          resumableStream.isAbandoned(performance.now());
  }

  private sendEvent(event: string): boolean {
    return this.send(this.resumableStream?.append(event) ?? event);
  }

  /** Sends text; returns false when the response was cut off and cannot be resumed. */
  private send(text: string): boolean {
    const {reader} = this;
    const bytes = Buffer.from(text);
    const remainingBytes = this.cutAfterBytes - this.sentBytes;
    if (this.cutAfterBytes >= 0 && bytes.length >= remainingBytes) {
      this.cutAfterBytes = -1;
      reader?.write(bytes.subarray(0, remainingBytes), () => reader.destroy());
      return this.handleConnectionCut();
    }
    this.sentBytes += bytes.length;
    reader?.write(bytes);
    return true;
  }

  /** Handles a cut connection; returns whether the run continues, as a resumable stream does. */
  private handleConnectionCut(): boolean {
    if (this.isResumable) {
      this.resumableStream?.detachReader();
      return true;
    }
    this.options.record.end = 'failed';
    this.isTerminated = true;
    return false;
  }

  private finish(
    identity: ResponseIdentity,
    words: readonly string[],
    faults: RunFaults,
  ): void {
    const {record, response, isStreamed} = this.options;
    const body = isStreamed
      ? STREAM_END
      : formatCompletion(identity, words.join(''));
    if (!isStreamed) {
      response.setHeader('content-type', 'application/json');
      const copies = faults.shouldDuplicateBody ? 2 : 1;
      response.setHeader('content-length', Buffer.byteLength(body) * copies);
      if (!this.send(body)) {
        return;
      }
    } else if (!faults.shouldOmitEndMarker && !this.sendEvent(body)) {
      return;
    }
    if (faults.shouldDuplicateBody) {
      const repeatedEvents = words
        .map(word => formatStreamEvent(identity, word))
        .join('');
      this.send(isStreamed ? repeatedEvents + body : body);
    }
    record.end = 'whole';
    this.isFinished = true;
    this.reader?.end();
  }
}
