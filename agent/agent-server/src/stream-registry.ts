import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';

/** What a stream table works with. */
export interface StreamRegistryOptions {
  readonly events: EventLog;
  /** Has the engine stop a request, and releases its pin once it has stopped. */
  readonly stop: (id: string, pin: Pin | undefined) => void;
}

/** A stream that is being read. */
export interface OpenStream {
  readonly id: string;
  readonly pin?: Pin;
  /** Ends the reading, but not the run. */
  readonly leave: () => void;
}

/** A reader of a stream, as its table knows it. */
export interface StreamReader extends OpenStream {
  cancelled: boolean;
  /** Runs once the reader has broken off. */
  timer?: NodeJS.Timeout;
}

/** Longest time for which a broken stream is kept, in milliseconds, whatever its engine offers. */
const LONGEST_HOLD_MS = 30_000;

/**
 * The streams that run in an engine and can be resumed. Each has one reader at most: a
 * later one takes its place. A stream without a reader keeps its run and its pin for a
 * bounded time.
 */
export class StreamRegistry {
  private readonly readers = new Map<string, StreamReader>();

  constructor(private readonly options: StreamRegistryOptions) {}

  /** Takes note of a reader, in the place of the one before. */
  open(stream: OpenStream): StreamReader {
    const before = this.readers.get(stream.id);
    const reader: StreamReader = {...stream, cancelled: false};
    this.readers.set(stream.id, reader);
    if (before?.timer !== undefined) {
      clearTimeout(before.timer);
      before.pin?.release(performance.now());
    } else {
      before?.leave();
    }
    return reader;
  }

  /** Takes note that a reader broke off; its stream can be resumed for `holdMs`. */
  recordDisconnect(reader: StreamReader, holdMs: number): void {
    const {id, pin} = reader;
    if (this.readers.get(id) !== reader) {
      pin?.release(performance.now());
      return;
    }
    const boundMs = Math.min(LONGEST_HOLD_MS, holdMs);
    if (reader.cancelled || boundMs <= 0) {
      this.stop(reader);
      return;
    }
    this.options.events.record('stream-held', {id, boundMs});
    reader.timer = setTimeout(() => this.stop(reader), boundMs);
    reader.timer.unref();
  }

  /** Takes note that a reader had the whole stream. */
  recordEnd(reader: StreamReader): void {
    if (this.readers.get(reader.id) === reader) {
      this.readers.delete(reader.id);
    }
    reader.pin?.release(performance.now());
  }

  /** Stops a stream at once; one that is not known here may still run in the engine. */
  cancel(id: string): void {
    const reader = this.readers.get(id);
    if (reader === undefined) {
      this.options.stop(id, undefined);
      return;
    }
    reader.cancelled = true;
    if (reader.timer !== undefined) {
      this.stop(reader);
    } else {
      reader.leave();
    }
  }

  private stop(reader: StreamReader): void {
    clearTimeout(reader.timer);
    this.readers.delete(reader.id);
    this.options.events.record('stream-released', {id: reader.id});
    this.options.stop(reader.id, reader.pin);
  }
}
