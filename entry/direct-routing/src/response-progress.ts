import {
  FramingCheck,
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

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Follows how far a response gets; reports its end once. */
export class ResponseProgress implements CompletenessCheck {
  private readonly framing: FramingCheck;
  private hasEvent = false;
  /** Whether the last line that arrived is empty so far. */
  private isLineEmpty = false;

  constructor(
    upstream: UpstreamResponse,
    private readonly isStream: boolean,
    onEnd: (end: ResponseEnd) => void,
  ) {
    this.framing = new FramingCheck(upstream);
    upstream.message.once('close', () =>
      onEnd({isComplete: this.isComplete(), hasEvent: this.hasEvent}),
    );
  }

  add(chunk: Buffer): void {
    this.framing.add();
    if (!this.hasEvent) {
      this.hasEvent = !this.isStream || this.containsEventEnd(chunk);
    }
  }

  isComplete(): boolean {
    return this.framing.isComplete();
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
