import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';

/** Options of a stream registry. */
export interface StreamRegistryOptions {
  readonly events: EventLog;
  /** Stops a request in the engine and releases its pin once it has stopped. */
  readonly stop: (id: string, pin: Pin | undefined) => void;
}

/** A stream that is being relayed. */
export interface OpenStream {
  readonly id: string;
  readonly pin?: Pin;
  /** Stops reading the stream without stopping the run in the engine. */
  readonly stopReading: () => void;
}

/** A registered reader of a stream. */
export interface StreamReader extends OpenStream {
  isCancelled: boolean;
  /** Set while the reader is disconnected. */
  timer?: NodeJS.Timeout;
}

/**
 * Maximum time that a disconnected stream is kept, even if the engine would keep
 * it for longer.
 */
const MAX_HOLD_MS = 30_000;

/**
 * Tracks the resumable streams of an engine. Each stream has at most one
 * reader; a new reader replaces the previous one. A stream without a reader
 * keeps its run and its pin for a limited time.
 */
export class StreamRegistry {
  private readonly readers = new Map<string, StreamReader>();

  constructor(private readonly options: StreamRegistryOptions) {}

  /** Registers a reader, which replaces the previous one. */
  open(stream: OpenStream): StreamReader {
    const previous = this.readers.get(stream.id);
    const reader: StreamReader = {...stream, isCancelled: false};
    this.readers.set(stream.id, reader);
    if (previous?.timer !== undefined) {
      clearTimeout(previous.timer);
      previous.pin?.release(performance.now());
    } else {
      previous?.stopReading();
    }
    return reader;
  }

  /**
   * Records that a reader disconnected. Its stream can be resumed for `holdMs`.
   */
  recordDisconnect(reader: StreamReader, holdMs: number): void {
    const {id, pin} = reader;
    if (this.readers.get(id) !== reader) {
      pin?.release(performance.now());
      return;
    }
    const boundMs = Math.min(MAX_HOLD_MS, holdMs);
    if (reader.isCancelled || boundMs <= 0) {
      this.stop(reader);
      return;
    }
    this.options.events.record('stream-held', {id, boundMs});
    reader.timer = setTimeout(() => this.stop(reader), boundMs);
    reader.timer.unref();
  }

  /** Records that a reader received the complete stream. */
  recordEnd(reader: StreamReader): void {
    if (this.readers.get(reader.id) === reader) {
      this.readers.delete(reader.id);
    }
    reader.pin?.release(performance.now());
  }

  /**
   * Stops a stream immediately. An unregistered stream may still be running in
   * the engine and is stopped there.
   */
  cancel(id: string): void {
    const reader = this.readers.get(id);
    if (reader === undefined) {
      this.options.stop(id, undefined);
      return;
    }
    reader.isCancelled = true;
    if (reader.timer !== undefined) {
      this.stop(reader);
    } else {
      reader.stopReading();
    }
  }

  private stop(reader: StreamReader): void {
    clearTimeout(reader.timer);
    this.readers.delete(reader.id);
    this.options.events.record('stream-released', {id: reader.id});
    this.options.stop(reader.id, reader.pin);
  }
}
