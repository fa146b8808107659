import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import {
  AgentCompletenessCheck,
  isDelimitedByClose,
  type CompletenessCheck,
} from './completeness-check.js';
import {responseHeaders} from './attempt-headers.js';
import type {UpstreamResponse} from './attempt.js';
import {NumberedEventBuffer} from './numbered-event-buffer.js';

/**
 * How the relay of an answer ended: `whole`; `torn` after its first byte went to the
 * caller; `lost` before that; `cancelled` by the caller.
 */
export type RelayOutcome = 'whole' | 'torn' | 'lost' | 'cancelled';

/** The link to the target of a stream that can be resumed. */
export interface StreamResumer {
  /** Opens the rest of the stream after event `after`; undefined where there is none. */
  reopen(after: number): Promise<UpstreamResponse | undefined>;
  /** Tells the target that the rest is not wanted. */
  cancel(): void;
}

/** How an answer is relayed. */
export interface RelayOptions {
  /** Headers that go to the caller beside the target's. */
  readonly headers: OutgoingHttpHeaders;
  /** Bytes of an answer that are collected before the first one goes out; 0 streams at once. */
  readonly maxBufferedBytes: number;
  /** Whether the answer has to end with an engine's `data: [DONE]`. */
  readonly endsWithDone: boolean;
  /** Decides whether an answer is whole; by default the count of bytes that its agent adds. */
  readonly createCompletenessCheck?: (
    answer: UpstreamResponse,
  ) => CompletenessCheck;
  /** Bytes of the body that are kept for a resend. */
  readonly maxStoredBytes: number;
  /** Whether the answer is read to its end though the caller went away. */
  readonly outlivesCaller: boolean;
  /** Ends the relay, as at the request's deadline. */
  readonly signal: AbortSignal;
  /** Given where a broken answer can be resumed. */
  readonly resumer?: StreamResumer;
}

/** What became of an answer. */
export interface RelayResult {
  readonly end: RelayOutcome;
  readonly status: number;
  /** The whole body where it fits into `keepBytes`. */
  readonly body: Buffer | undefined;
}

/**
 * Relays a target's answer at the caller's pace. Nothing goes to the caller before
 * `collectBytes` have come or the answer is whole; a torn answer is never ended cleanly.
 */
export function relayResponse(
  answer: UpstreamResponse,
  response: ServerResponse,
  options: RelayOptions,
): Promise<RelayResult> {
  return new Promise(resolve => {
    new AnswerRelay(answer, response, options, resolve).start();
  });
}

class AnswerRelay {
  private readonly status: number;
  /** Whether the caller's connection is to end as the target's does, by its end or a reset. */
  private readonly unframed: boolean;
  private readonly events: NumberedEventBuffer | undefined;
  private end: CompletenessCheck;
  /** What is read now; undefined while the answer is being resumed. */
  private message: IncomingMessage | undefined;
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private kept: Buffer[] | undefined = [];
  private keptBytes = 0;
  private begun = false;
  private callerGone = false;
  private complete = false;
  private settled = false;

  constructor(
    private readonly answer: UpstreamResponse,
    private readonly response: ServerResponse,
    private readonly options: RelayOptions,
    private readonly resolve: (relayed: RelayResult) => void,
  ) {
    this.end = this.wholenessOf(answer);
    this.events = options.resumer && new NumberedEventBuffer();
    this.status = answer.message.statusCode ?? 502;
    this.unframed =
      options.createCompletenessCheck !== undefined &&
      answer.method !== 'HEAD' &&
      isDelimitedByClose(answer.message);
  }

  start(): void {
    const {answer, response, options} = this;
    this.read(answer.message);
    response.on('drain', () => this.message?.resume());
    response.on('close', () => this.loseCaller());
    options.signal.addEventListener('abort', this.stop, {once: true});
    if (response.destroyed) {
      this.loseCaller();
    }
    if (options.signal.aborted) {
      this.stop();
    }
  }

  private wholenessOf(answer: UpstreamResponse): CompletenessCheck {
    const {endsWithDone, createCompletenessCheck: wholenessOf} = this.options;
    return (
      wholenessOf?.(answer) ?? new AgentCompletenessCheck(answer, endsWithDone)
    );
  }

  private read(message: IncomingMessage): void {
    this.message = message;
    const ifCurrent = (act: () => void) => () => {
      if (this.message === message) {
        act();
      }
    };
    message.on('data', (chunk: Buffer) => {
      if (this.message === message) {
        this.take(chunk);
      }
    });
    message.on(
      'end',
      ifCurrent(() => this.finish()),
    );
    message.on(
      'error',
      ifCurrent(() => this.breakOff()),
    );
    message.on(
      'close',
      ifCurrent(() => this.breakOff()),
    );
    if (this.response.writableNeedDrain && !this.callerGone) {
      message.pause();
    }
  }

  private take(chunk: Buffer): void {
    const {events} = this;
    this.end.add(chunk);
    this.pass(events === undefined ? chunk : events.add(chunk));
    if (events?.isOutOfSequence === true) {
      this.breakOff();
    }
  }

  private pass(bytes: Buffer): void {
    if (bytes.length === 0) {
      return;
    }
    this.keep(bytes);
    if (this.callerGone) {
      return;
    }
    if (this.begun) {
      this.write(bytes);
      return;
    }
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
    if (this.unframed || this.pendingBytes > this.options.maxBufferedBytes) {
      this.begin({});
      this.flush();
    }
  }

  private keep(chunk: Buffer): void {
    this.keptBytes += chunk.length;
    if (this.keptBytes > this.options.maxStoredBytes) {
      this.kept = undefined;
    }
    this.kept?.push(chunk);
  }

  private begin(length: OutgoingHttpHeaders): void {
    this.begun = true;
    if (this.unframed) {
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
    this.response.writeHead(this.status, {
      ...responseHeaders(this.answer.message),
      ...length,
      ...this.options.headers,
    });
  }

  private flush(): void {
    this.pending.forEach(chunk => this.write(chunk));
    this.pending = [];
  }

  private write(chunk: Buffer): void {
    if (!this.response.write(chunk)) {
      this.message?.pause();
    }
  }

  private finish(): void {
    if (!this.end.isComplete()) {
      this.breakOff();
      return;
    }
    this.complete = true;
    this.pass(this.events?.flush() ?? Buffer.alloc(0));
    if (this.callerGone) {
      this.settle('whole');
      return;
    }
    if (!this.begun) {
      this.begin(this.unframed ? {} : this.wholeLength());
    }
    this.flush();
    this.response.end(() => this.settle('whole'));
  }

  private wholeLength(): OutgoingHttpHeaders {
    const {message, method} = this.answer;
    if (method === 'HEAD') {
      const length = message.headers['content-length'];
      return length === undefined ? {} : {'content-length': length};
    }
    return this.status === 204 || this.status === 304
      ? {}
      : {'content-length': this.pendingBytes};
  }

  private breakOff(): void {
    if (this.complete || this.settled) {
      return;
    }
    const {resumer: link} = this.options;
    if (link === undefined || this.events?.isNumbered !== true) {
      this.abandon();
      return;
    }
    void this.resume(link, this.events);
  }

  private async resume(
    link: StreamResumer,
    events: NumberedEventBuffer,
  ): Promise<void> {
    const broken = this.message;
    this.message = undefined;
    broken?.destroy();
    events.restart();
    const rest = await link.reopen(events.lastEventNumber);
    if (this.settled) {
      rest?.message.destroy();
      return;
    }
    if (rest === undefined) {
      this.abandon();
      return;
    }
    this.end = this.wholenessOf(rest);
    this.read(rest.message);
  }

  /** The signal may tell of a caller that went away before the response's own event does. */
  private readonly stop = () => {
    if (this.response.destroyed && !this.options.outlivesCaller) {
      this.loseCaller();
      return;
    }
    this.abandon();
  };

  private abandon(): void {
    if (this.settled) {
      return;
    }
    this.settle(this.begun ? 'torn' : 'lost');
    if (this.begun) {
      this.breakConnection();
    }
    this.message?.destroy();
  }

  /** Without a length, only a reset shows the caller that an answer is torn. */
  private breakConnection(): void {
    if (this.unframed) {
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  private loseCaller(): void {
    if (this.response.writableFinished) {
      this.settle('whole');
      return;
    }
    this.callerGone = true;
    this.pending = [];
    if (this.options.outlivesCaller && !this.complete) {
      this.message?.resume();
      return;
    }
    this.settle(this.options.outlivesCaller ? 'whole' : 'cancelled');
    this.message?.destroy();
  }

  private settle(end: RelayOutcome): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    this.options.signal.removeEventListener('abort', this.stop);
    if (end !== 'whole') {
      this.options.resumer?.cancel();
    }
    const body =
      end === 'whole' && this.kept !== undefined
        ? Buffer.concat(this.kept)
        : undefined;
    this.resolve({end, status: this.status, body});
  }
}
