import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import {guard} from '@marigoldspur/fault-guard';
import type {Fault} from '@marigoldspur/faults';
import {
  framingOf,
  PacedReading,
  pauseAndReadAhead,
  pauseMessage,
  resumeMessage,
  type BodyFraming,
} from '@marigoldspur/http-link';
import type {Reservation} from '@marigoldspur/memory-budget';
import {PieceList} from '@marigoldspur/request-bodies';
import {TrailerCheck, type CompletenessCheck} from './completeness-check.js';
import {isEventStream, responseHeaders} from './attempt-headers.js';
import {chooseCallerFraming, type CallerFraming} from './caller-framing.js';
import {MemoryWait} from './memory-wait.js';
import type {UpstreamResponse} from './attempt.js';
import {NumberedEventBuffer} from './numbered-event-buffer.js';

/**
 * How the relay of a response ended: `whole` if complete; `torn` if it broke
 * after its first byte went to the caller; `lost` if it broke before that;
 * `cancelled` if the caller disconnected.
 */
export type RelayOutcome = 'whole' | 'torn' | 'lost' | 'cancelled';

/** Resumes a broken stream. */
export interface StreamResumer {
  /**
   * Opens the rest of the stream after event `after`; undefined if it cannot be
   * resumed.
   */
  reopen(after: number): Promise<UpstreamResponse | undefined>;
  /** Tells the target that the rest of the stream is not needed. */
  cancel(): void;
}

/** How a response is relayed. */
export interface RelayOptions {
  /** Headers that are sent to the caller in addition to the target's. */
  readonly headers: OutgoingHttpHeaders;
  /**
   * Number of bytes that are buffered before a response starts that may start before it is
   * complete; 0 streams immediately.
   */
  readonly maxBufferedBytes: number;
  /** Whether the response has to end with an engine's `data: [DONE]`. */
  readonly endsWithDone: boolean;
  /**
   * Creates the completeness check of a response; by default the byte count in
   * the agent's trailer is checked.
   */
  readonly createCheck?: (upstream: UpstreamResponse) => CompletenessCheck;
  /** Maximum size of a body that is stored for a replay, in bytes. */
  readonly maxStoredBytes: number;
  /** Whether the response is read to its end even if the caller disconnects. */
  readonly outlivesCaller: boolean;
  /** Aborts the relay, for example at the request's deadline. */
  readonly signal: AbortSignal;
  /** Set if a broken response can be resumed. */
  readonly resumer?: StreamResumer;
  /** Number of the last event that the caller has, if it takes up a stream. */
  readonly resumeAfter?: number;
  /** Called if a target's bytes cannot be the rest of the stream after event `after`. */
  readonly onInvalidStream?: (after: number) => void;
  /**
   * Grows with what is buffered for the caller beyond its first size, and has that size again
   * afterwards; a response that lacks the memory waits, and breaks off in the end.
   */
  readonly reservation?: Reservation;
  /** Called with an unexpected error, which ends the response as broken. */
  readonly onFault?: (fault: Fault) => void;
}

/** Maximum number of bytes that are buffered of a response that must not start before it is complete. */
const MAX_HELD_BYTES = 4_194_304;
/**
 * The same if the caller is told its end by the connection alone: what the send buffer of a socket
 * takes at once, so that a process that is killed does not cut it.
 */
const MAX_CLOSE_DELIMITED_BYTES = 32_768;

/**
 * How a target's response ended: `ended` as its framing says or with its connection, `broken`, or
 * `open` if the relay did not read to its end.
 */
export type UpstreamEnd = 'ended' | 'broken' | 'open';

/**
 * Why a response broke off: the `target` cut it or sent what cannot belong to it, this process
 * lacked the `memory` to buffer it, its `size` exceeded what may be held, its time was up
 * (`aborted`), or an unexpected error occurred (`fault`).
 */
export type RelayBreak = 'target' | 'memory' | 'size' | 'aborted' | 'fault';

/** Result of relaying a response. */
export interface RelayResult {
  readonly outcome: RelayOutcome;
  readonly status: number;
  /** How the target told the end of the body that was read last. */
  readonly targetFraming: BodyFraming;
  /** How the caller was told the end of its body; undefined if the response did not start. */
  readonly callerFraming: BodyFraming | undefined;
  /** Bytes of the body that were received, with those of a resumed stream. */
  readonly receivedBytes: number;
  /** Pieces in which these bytes were received; at most one for each chunk and each read of the socket. */
  readonly receivedPieces: number;
  /** Bytes of the body that were written to the caller. */
  readonly sentBytes: number;
  /** How the response that was read last ended. */
  readonly end: UpstreamEnd;
  /** Why the response was torn or lost; undefined if it was not. */
  readonly brokenBy: RelayBreak | undefined;
  /** The complete body if it fits into `maxStoredBytes`. */
  readonly body: Buffer | undefined;
}

/**
 * Relays a target's response with backpressure from the caller. Nothing is sent
 * to the caller before more than `maxBufferedBytes` have arrived or the
 * response is complete. An incomplete response never ends cleanly, also if this process ends;
 * `chooseCallerFraming` decides how the caller can tell.
 */
export function relayResponse(
  upstream: UpstreamResponse,
  response: ServerResponse,
  options: RelayOptions,
): Promise<RelayResult> {
  return new Promise(resolve => {
    new ResponseRelay(upstream, response, options, resolve).start();
  });
}

class ResponseRelay {
  private readonly status: number;
  private framing: CallerFraming;
  /** Size of the reservation that the response may use without asking for more, in bytes. */
  private readonly reservedBytes: number;
  private readonly eventBuffer: NumberedEventBuffer | undefined;
  private completenessCheck: CompletenessCheck;
  /** The response that is being read; undefined while it is being resumed. */
  private message: IncomingMessage | undefined;
  /** What has arrived of a response that has not started. */
  private buffered = new PieceList();
  private stored: PieceList | undefined = new PieceList();
  /** What is written to the caller in one piece at the end of this turn of the event loop. */
  private unwritten = new PieceList();
  private hasStarted = false;
  private targetFraming: BodyFraming;
  private callerFraming: BodyFraming | undefined;
  private receivedBytes = 0;
  private receivedPieces = 0;
  private sentBytes = 0;
  private end: UpstreamEnd = 'open';
  private hasCallerDisconnected = false;
  private isComplete = false;
  private isSettled = false;
  private pacedReading: PacedReading;
  private readonly memoryWait: MemoryWait;
  private brokenBy: RelayBreak | undefined;

  constructor(
    private readonly upstream: UpstreamResponse,
    private readonly response: ServerResponse,
    private readonly options: RelayOptions,
    private readonly resolve: (relayed: RelayResult) => void,
  ) {
    this.completenessCheck = this.createCheck(upstream);
    this.eventBuffer =
      options.resumer && new NumberedEventBuffer(options.resumeAfter);
    this.status = upstream.message.statusCode ?? 502;
    this.targetFraming = framingOf(upstream.message, upstream.method);
    this.framing = this.chooseFraming();
    this.reservedBytes = options.reservation?.bytes ?? 0;
    this.memoryWait = new MemoryWait({
      hasMemory: () => this.hasMemory(),
      onMemory: this.guarded(() => this.resumeReading()),
      onTimeout: this.guarded(() => this.fail('memory')),
    });
    this.pacedReading = this.createPacedReading(upstream);
  }

  start(): void {
    const {upstream, response, options} = this;
    this.readFrom(upstream);
    response.on('drain', () => {
      this.reserveBuffered();
      this.resumeReading();
    });
    response.on(
      'close',
      this.guarded(() => this.handleDisconnect()),
    );
    options.signal.addEventListener('abort', this.handleAbort, {once: true});
    if (response.destroyed) {
      this.handleDisconnect();
    }
    if (options.signal.aborted) {
      this.handleAbort();
    }
  }

  private createCheck(upstream: UpstreamResponse): CompletenessCheck {
    const {endsWithDone, createCheck} = this.options;
    return (
      upstream.check ??
      createCheck?.(upstream) ??
      new TrailerCheck(upstream, endsWithDone)
    );
  }

  private createPacedReading({
    chunkMeter,
    message,
    onChunkExcess,
  }: UpstreamResponse): PacedReading {
    return new PacedReading({
      message,
      isStream: this.eventBuffer !== undefined || isEventStream(message),
      chunkMeter,
      onResume: () => this.resumeReading(),
      onExcess: onChunkExcess,
    });
  }

  private chooseFraming(): CallerFraming {
    return chooseCallerFraming({
      targetFraming: this.targetFraming,
      endsByContent: this.completenessCheck.endsByContent === true,
      acceptsChunks: this.response.useChunkedEncodingByDefault,
      keepsLength: this.eventBuffer === undefined,
    });
  }

  private readFrom(upstream: UpstreamResponse): void {
    const {message} = upstream;
    this.message = message;
    this.pacedReading.cancel();
    this.pacedReading = this.createPacedReading(upstream);
    const on = (event: string, handle: (chunk: Buffer) => void) => {
      const guarded = this.guarded(handle);
      message.on(event, (chunk: Buffer) => {
        if (this.message === message) {
          guarded(chunk);
        }
      });
    };
    on('data', chunk => this.handleChunk(chunk, upstream));
    on('end', () => this.handleEnd());
    on('error', () => this.handleLoss());
    on('close', () => this.handleLoss());
    if (this.mayRead) {
      resumeMessage(message);
    } else {
      pauseMessage(message);
    }
  }

  /** Whether the caller takes more and the pace allows it. */
  private get mayRead(): boolean {
    const needsDrain =
      this.response.writableNeedDrain && !this.hasCallerDisconnected;
    return (
      !needsDrain && !this.pacedReading.isPausing && !this.memoryWait.isWaiting
    );
  }

  private resumeReading(): void {
    if (this.mayRead && this.message !== undefined) {
      resumeMessage(this.message);
    }
  }

  private pauseReading(): void {
    if (this.message !== undefined) {
      pauseMessage(this.message);
    }
  }

  /** Wraps a handler so that an unexpected error ends this response alone. */
  private guarded<Args extends readonly unknown[]>(
    handle: (...args: Args) => unknown,
  ): (...args: Args) => void {
    return guard(handle, {
      onFault: fault => {
        this.options.onFault?.(fault);
        this.fail('fault');
      },
    });
  }

  private handleChunk(chunk: Buffer, upstream: UpstreamResponse): void {
    const {eventBuffer} = this;
    if (this.isSettled) {
      return;
    }
    this.receivedBytes += chunk.length;
    this.receivedPieces += 1;
    this.completenessCheck.add(chunk);
    if (this.completenessCheck.isExceeded?.() === true) {
      this.fail('target');
      return;
    }
    this.pacedReading.recordChunk(chunk, performance.now());
    if (this.pacedReading.isFragmented) {
      upstream.onFragmented?.();
      this.handleBreak();
      return;
    }
    this.forward(eventBuffer === undefined ? chunk : eventBuffer.add(chunk));
    this.reserveBuffered();
    if (eventBuffer?.isInvalid === true) {
      this.handleInvalidStream(eventBuffer);
    }
  }

  /**
   * Without memory for what is buffered, starts the response if it may start before it is complete,
   * and otherwise reads no more for now.
   */
  private reserveBuffered(): void {
    if (this.isSettled || this.hasMemory() || this.startForMemory()) {
      this.memoryWait.stop();
      return;
    }
    this.pauseForMemory();
    this.memoryWait.start(performance.now());
  }

  /** Without chunks, a paused response holds few objects, and its end may show that it needs no more memory. */
  private pauseForMemory(): void {
    if (this.targetFraming === 'chunks') {
      this.pauseReading();
    } else if (this.message !== undefined) {
      pauseAndReadAhead(this.message);
    }
  }

  /** Starts the response if it may start early; whether its bytes then need no more memory. */
  private startForMemory(): boolean {
    if (this.hasStarted || this.buffered.byteLength === 0) {
      return false;
    }
    this.startEarly();
    return this.hasStarted && this.hasMemory();
  }

  private hasMemory(): boolean {
    const bytes = Math.max(this.heldBytes, this.reservedBytes);
    const isReserved = this.options.reservation?.resize(bytes) !== false;
    // What has arrived completely is in memory already and cannot grow.
    return isReserved || this.message?.complete === true;
  }

  /** Bytes of the response that the caller has not taken yet; a write is under way until the next turn. */
  private get heldBytes(): number {
    const heldBack = this.eventBuffer?.bufferedBytes ?? 0;
    const buffered = this.hasStarted ? 0 : this.buffered.allocatedBytes;
    const {writableLength, writableNeedDrain} = this.response;
    return heldBack + buffered + (writableNeedDrain ? writableLength : 0);
  }

  private forward(bytes: Buffer): void {
    if (bytes.length === 0) {
      return;
    }
    this.store(bytes);
    if (this.hasCallerDisconnected) {
      return;
    }
    if (this.hasStarted) {
      this.write(bytes);
      return;
    }
    this.buffered.add(bytes);
    if (this.buffered.byteLength > this.options.maxBufferedBytes) {
      this.startEarly();
    }
    this.checkSize();
  }

  /** Starts the response before it is complete if it may. */
  private startEarly(): void {
    const {early} = this.framing;
    if (early !== undefined) {
      this.startResponse(early);
      this.flush();
    }
  }

  /** Breaks off a response that waits for its end and has become too large for it. */
  private checkSize(): void {
    const maxBytes =
      this.framing.complete === 'close'
        ? MAX_CLOSE_DELIMITED_BYTES
        : MAX_HELD_BYTES;
    const isHeld = !this.hasStarted && this.framing.early === undefined;
    if (isHeld && this.buffered.byteLength > maxBytes) {
      this.fail('size');
    }
  }

  private store(chunk: Buffer): void {
    this.stored?.add(chunk);
    if ((this.stored?.byteLength ?? 0) > this.options.maxStoredBytes) {
      this.stored = undefined;
    }
  }

  private startResponse(framing: BodyFraming): void {
    if (framing === 'close') {
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
    this.response.writeHead(this.status, {
      ...responseHeaders(this.upstream.message),
      ...this.lengthHeaders(framing),
      ...this.options.headers,
    });
    this.hasStarted = true;
    this.callerFraming = framing;
  }

  private lengthHeaders(framing: BodyFraming): OutgoingHttpHeaders {
    const {message, method} = this.upstream;
    const stated = message.headers['content-length'];
    if (framing === 'length') {
      const length = this.isComplete ? this.buffered.byteLength : stated;
      return {'content-length': length};
    }
    return method === 'HEAD' && stated !== undefined
      ? {'content-length': stated}
      : {};
  }

  /** Writes what was buffered before the response started. */
  private flush(): void {
    this.unwritten.add(Buffer.concat(this.buffered.finish()));
    this.buffered = new PieceList();
    this.writeAll();
  }

  /** Writes what else this turn brings together with the chunk. */
  private write(chunk: Buffer): void {
    if (this.unwritten.byteLength === 0) {
      process.nextTick(this.guarded(() => this.writeAll()));
    }
    this.unwritten.add(chunk);
  }

  private writeAll(): void {
    const pieces = this.unwritten.finish();
    this.unwritten = new PieceList();
    if (this.response.destroyed) {
      return;
    }
    for (const piece of pieces) {
      this.sentBytes += piece.length;
      if (!this.response.write(piece)) {
        this.pauseReading();
      }
    }
  }

  private handleEnd(): void {
    const {eventBuffer} = this;
    this.end = 'ended';
    if (!this.completenessCheck.isComplete()) {
      this.handleBreak();
      return;
    }
    if (eventBuffer !== undefined) {
      const rest = eventBuffer.finish();
      if (rest === undefined) {
        this.handleInvalidStream(eventBuffer);
        return;
      }
      this.forward(rest);
    }
    this.isComplete = true;
    if (this.hasCallerDisconnected) {
      this.settle('whole');
      return;
    }
    if (!this.hasStarted) {
      this.startResponse(this.framing.complete);
    }
    this.flush();
    this.response.end(() => this.settle('whole'));
  }

  private handleInvalidStream({lastEventNumber}: NumberedEventBuffer): void {
    this.options.onInvalidStream?.(lastEventNumber);
    this.handleBreak();
  }

  /** Handles the end of a connection, before or after that of the response. */
  private handleLoss(): void {
    if (this.end === 'open') {
      this.end = 'broken';
    }
    this.handleBreak();
  }

  private handleBreak(): void {
    if (this.isComplete || this.isSettled) {
      return;
    }
    const {eventBuffer} = this;
    const {resumer} = this.options;
    if (resumer === undefined || eventBuffer?.isNumbered !== true) {
      this.fail('target');
      return;
    }
    this.guarded(() => this.resume(resumer, eventBuffer))();
  }

  private async resume(
    resumer: StreamResumer,
    eventBuffer: NumberedEventBuffer,
  ): Promise<void> {
    const broken = this.message;
    this.message = undefined;
    broken?.destroy();
    eventBuffer.restart();
    const rest = await resumer.reopen(eventBuffer.lastEventNumber);
    if (this.isSettled) {
      rest?.message.destroy();
      return;
    }
    if (rest === undefined) {
      this.fail('target');
      return;
    }
    this.completenessCheck = this.createCheck(rest);
    this.targetFraming = framingOf(rest.message, rest.method);
    if (!this.hasStarted) {
      this.framing = this.chooseFraming();
    }
    this.end = 'open';
    this.readFrom(rest);
  }

  /**
   * Handles the abort of the signal. The signal may report a disconnected
   * caller before the response emits `close`.
   */
  private readonly handleAbort = () => {
    const {destroyed, socket} = this.response;
    const hasCallerClosed = destroyed || socket?.readableEnded === true;
    if (hasCallerClosed && !this.options.outlivesCaller) {
      this.handleDisconnect();
      return;
    }
    this.fail('aborted');
  };

  private fail(brokenBy: RelayBreak): void {
    if (this.isSettled) {
      return;
    }
    this.brokenBy = brokenBy;
    this.settle(this.hasStarted ? 'torn' : 'lost');
    if (this.callerFraming === 'close') {
      // An ordinary end would look like that of the response.
      this.response.socket?.resetAndDestroy();
    }
    if (this.hasStarted) {
      this.response.destroy();
    }
    this.message?.destroy();
  }

  private handleDisconnect(): void {
    if (this.response.writableFinished) {
      this.settle('whole');
      return;
    }
    this.hasCallerDisconnected = true;
    this.buffered = new PieceList();
    if (this.options.outlivesCaller && !this.isComplete) {
      this.resumeReading();
      return;
    }
    this.settle(this.options.outlivesCaller ? 'whole' : 'cancelled');
    this.message?.destroy();
  }

  private settle(outcome: RelayOutcome): void {
    if (this.isSettled) {
      return;
    }
    this.isSettled = true;
    this.pacedReading.cancel();
    this.memoryWait.stop();
    this.options.reservation?.resize(this.reservedBytes);
    this.options.signal.removeEventListener('abort', this.handleAbort);
    if (outcome !== 'whole') {
      this.options.resumer?.cancel();
    }
    const body =
      outcome === 'whole' && this.stored !== undefined
        ? Buffer.concat(this.stored.finish())
        : undefined;
    const {callerFraming, end, receivedBytes, sentBytes, status} = this;
    const {brokenBy, receivedPieces, targetFraming} = this;
    this.resolve({
      outcome,
      status,
      body,
      targetFraming,
      callerFraming,
      receivedBytes,
      receivedPieces,
      sentBytes,
      end,
      brokenBy,
    });
  }
}
