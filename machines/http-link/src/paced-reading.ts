import type {IncomingMessage} from 'node:http';
import {LeakyBucket} from '@marigoldspur/request-bodies';
import {callInTurn} from './call-in-turn.js';
import {ChunkMeter} from './chunk-meter.js';
import {pauseMessage} from './pause-message.js';
import {ReadPace} from './read-pace.js';
import {TinyChunkLimit} from './tiny-chunk-limit.js';

/** Options of paced reading. */
export interface PacedReadingOptions {
  readonly message: IncomingMessage;
  /** Whether the response is a stream of events, whose bytes per second are bounded. */
  readonly isStream: boolean;
  /** Counts the small chunks of the peer; by default those of this response alone. */
  readonly chunkMeter?: ChunkMeter;
  /** Called after a pause; the response is to be resumed unless something else keeps it paused. */
  readonly onResume: () => void;
  /** Called once if the response has to pause because its peer brings too many small chunks. */
  readonly onExcess?: () => void;
}

/**
 * Small chunks of a response that do not count for its peer: a token stream brings fewer, also after a
 * stall.
 */
const OWN_CHUNKS = {capacity: 256, perSecond: 256};

/**
 * Pauses a response that has brought its share, or whose peer has on all connections, so that other
 * connections get their turn.
 */
export class PacedReading {
  private readonly pace: ReadPace;
  private readonly chunkMeter: ChunkMeter;
  private readonly ownChunks = new LeakyBucket(OWN_CHUNKS);
  private readonly tinyChunkLimit = new TinyChunkLimit();
  private hasExcess = false;
  private cancelPause: (() => void) | undefined;

  constructor(private readonly options: PacedReadingOptions) {
    this.pace = new ReadPace(options.isStream);
    this.chunkMeter = options.chunkMeter ?? new ChunkMeter();
  }

  get isPausing(): boolean {
    return this.cancelPause !== undefined;
  }

  /** Whether the chunks of the response are too many and too small for an answer. */
  get isFragmented(): boolean {
    return this.tinyChunkLimit.isExceeded;
  }

  /** Records a chunk that arrived at time `now`, in milliseconds; a pause begins at the end of a turn. */
  recordChunk({length}: Buffer, now: number): void {
    this.tinyChunkLimit.record(length, now);
    const chunkPauseMs = this.recordSmallChunk(length, now);
    const pauseMs = this.pace.recordBytes(length, now);
    if (pauseMs === undefined || this.isPausing) {
      return;
    }
    this.pause(Math.max(chunkPauseMs, pauseMs));
    if (chunkPauseMs > 0 && !this.hasExcess) {
      this.hasExcess = true;
      this.options.onExcess?.();
    }
  }

  /**
   * Returns the time for which a small chunk requires a pause. Only what exceeds the response's own
   * allowance counts for the peer, so that many sound streams, or one faulty one, delay no others.
   */
  private recordSmallChunk(bytes: number, now: number): number {
    if (!ChunkMeter.isSmall(bytes) || this.ownChunks.add(1, now)) {
      return 0;
    }
    this.ownChunks.add(-1, now);
    return this.chunkMeter.record(bytes, now);
  }

  /** Ends a pause without `onResume`. */
  cancel(): void {
    this.cancelPause?.();
    this.cancelPause = undefined;
  }

  private pause(pauseMs: number): void {
    pauseMessage(this.options.message);
    const resume = () => {
      this.cancelPause = undefined;
      this.pace.startTurn();
      this.options.onResume();
    };
    const startTurn = () => {
      this.cancelPause = callInTurn(resume);
    };
    if (pauseMs === 0) {
      startTurn();
    } else {
      const timer = setTimeout(startTurn, pauseMs);
      this.cancelPause = () => clearTimeout(timer);
    }
  }
}
