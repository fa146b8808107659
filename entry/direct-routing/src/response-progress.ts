import {
  EventBlockScanner,
  FramingCheck,
  type CompletenessCheck,
  type UpstreamResponse,
} from '@marigoldspur/dispatch';
import {framingOf} from '@marigoldspur/http-link';

/** How far a response got before it ended. */
export interface ResponseEnd {
  /** Whether all of it arrived. */
  readonly isComplete: boolean;
  /** Whether an event, or a byte of a response that is no stream, arrived. */
  readonly hasEvent: boolean;
  /** Whether more events arrived than the request allows. */
  readonly isExceeded: boolean;
  /** Whether this process stopped reading before the end. */
  readonly isStopped: boolean;
}

/** How a response is followed. */
export interface ResponseProgressOptions {
  readonly isStream: boolean;
  /** Maximum number of output tokens, of which each event holds one at least; no limit if absent. */
  readonly maxOutputTokens?: number;
  /** Called once, with how far the response got. */
  readonly onEnd: (end: ResponseEnd) => void;
  readonly onFirstEvent?: () => void;
  /** Called with each part that arrives, from that of the first event on. */
  readonly onPart?: () => void;
}

/** The empty line that ends an event, without carriage returns. */
const EVENT_END = '\n\n';
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes at the end of a stream that can contain the empty line of the last event. */
const TAIL_BYTES = 4;
/** Events of a stream that may hold no token, such as its start, its usage and its end. */
const MAX_TOKENLESS_EVENTS = 16;

/**
 * Follows how far a response gets; reports its end once. A stream that ends inside an event
 * is not complete, and neither is one without an event whose end only its connection marks.
 */
export class ResponseProgress implements CompletenessCheck {
  private readonly framing: FramingCheck;
  private hasArrivedEvent = false;
  /** Whether the last line that arrived is empty so far. */
  private isLineEmpty = false;
  private tail = '';
  private readonly scanner = new EventBlockScanner();
  private readonly maxEvents: number;
  private eventCount = 0;

  constructor(
    private readonly upstream: UpstreamResponse,
    private readonly options: ResponseProgressOptions,
  ) {
    const {isStream, maxOutputTokens, onEnd} = options;
    this.framing = new FramingCheck(upstream);
    this.maxEvents =
      isStream && maxOutputTokens !== undefined
        ? maxOutputTokens + MAX_TOKENLESS_EVENTS
        : Infinity;
    upstream.message.once('close', () =>
      onEnd({
        isComplete: this.isComplete(),
        hasEvent: this.hasArrivedEvent,
        isExceeded: this.isExceeded(),
        isStopped: this.isStopped(),
      }),
    );
  }

  get endsByContent(): boolean {
    return this.options.isStream;
  }

  /** Whether an event, or a byte of a response that is no stream, has arrived. */
  get hasEvent(): boolean {
    return this.hasArrivedEvent;
  }

  add(chunk: Buffer): void {
    this.framing.add();
    if (!this.hasArrivedEvent) {
      this.hasArrivedEvent =
        !this.options.isStream || this.containsEventEnd(chunk);
      if (this.hasArrivedEvent) {
        this.options.onFirstEvent?.();
      }
    }
    if (this.hasArrivedEvent) {
      this.options.onPart?.();
    }
    this.countEvents(chunk);
    if (this.options.isStream) {
      const end = chunk.toString(
        'latin1',
        Math.max(0, chunk.length - TAIL_BYTES),
      );
      this.tail = (this.tail + end).slice(-TAIL_BYTES);
    }
  }

  isComplete(): boolean {
    return (
      this.framing.isComplete() &&
      (!this.options.isStream || this.endsBetweenEvents())
    );
  }

  /** Whether more events arrived than the request allows. */
  isExceeded(): boolean {
    return this.eventCount > this.maxEvents;
  }

  /** A connection that the target breaks off leaves an error, unlike one that is closed here. */
  private isStopped(): boolean {
    const {errored, readableEnded} = this.upstream.message;
    return !readableEnded && errored === null;
  }

  private countEvents(chunk: Buffer): void {
    const {maxEvents, scanner} = this;
    if (maxEvents === Infinity) {
      return;
    }
    let end = scanner.findBlockEnd(chunk, 0);
    while (end !== undefined && !this.isExceeded()) {
      this.eventCount += scanner.block.hasEvent ? 1 : 0;
      scanner.startBlock();
      end = scanner.findBlockEnd(chunk, end);
    }
  }

  private endsBetweenEvents(): boolean {
    const {message, method} = this.upstream;
    return this.tail === ''
      ? framingOf(message, method) !== 'close'
      : this.tail.replaceAll('\r', '').endsWith(EVENT_END);
  }

  /** Whether the chunk contains the empty line that ends an event. */
  private containsEventEnd(chunk: Buffer): boolean {
    for (const byte of chunk) {
      if (byte === LINE_FEED && this.isLineEmpty) {
        return true;
      }
      if (byte !== CARRIAGE_RETURN) {
        this.isLineEmpty = byte === LINE_FEED;
      }
    }
    return false;
  }
}
