import {
  FramingCheck,
  isDelimitedByClose,
  type CompletenessCheck,
  type UpstreamResponse,
} from '@marigoldspur/dispatch';

/** How far a response got before it ended. */
export interface ResponseEnd {
  /** Whether all of it arrived. */
  readonly isComplete: boolean;
  /** Whether an event, or a byte of a response that is no stream, arrived. */
  readonly hasEvent: boolean;
}

/** The empty line that ends an event, without carriage returns. */
const EVENT_END = '\n\n';
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes at the end of a stream that can contain the empty line of the last event. */
const TAIL_BYTES = 4;

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

  constructor(
    private readonly upstream: UpstreamResponse,
    private readonly isStream: boolean,
    onEnd: (end: ResponseEnd) => void,
    private readonly onFirstEvent: () => void = () => {},
  ) {
    this.framing = new FramingCheck(upstream);
    upstream.message.once('close', () =>
      onEnd({isComplete: this.isComplete(), hasEvent: this.hasArrivedEvent}),
    );
  }

  /** Whether an event, or a byte of a response that is no stream, has arrived. */
  get hasEvent(): boolean {
    return this.hasArrivedEvent;
  }

  add(chunk: Buffer): void {
    this.framing.add();
    if (!this.hasArrivedEvent) {
      this.hasArrivedEvent = !this.isStream || this.containsEventEnd(chunk);
      if (this.hasArrivedEvent) {
        this.onFirstEvent();
      }
    }
    if (this.isStream) {
      const end = chunk.toString(
        'latin1',
        Math.max(0, chunk.length - TAIL_BYTES),
      );
      this.tail = (this.tail + end).slice(-TAIL_BYTES);
    }
  }

  isComplete(): boolean {
    return (
      this.framing.isComplete() && (!this.isStream || this.endsBetweenEvents())
    );
  }

  private endsBetweenEvents(): boolean {
    return this.tail === ''
      ? !isDelimitedByClose(this.upstream.message)
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
