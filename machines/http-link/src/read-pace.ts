import {LeakyBucket} from '@marigoldspur/request-bodies';
import {ChunkMeter} from './chunk-meter.js';

/** Bytes of one response that are processed before the other connections get their turn. */
const MAX_TURN_BYTES = 65_536;
/** Small chunks of one response that are processed before the other connections get their turn. */
const MAX_TURN_CHUNKS = 256;
/** Bytes that a stream may bring; as many at once, for example, after a stall or when it is resumed. */
const STREAM_BYTES = {capacity: 1_048_576, perSecond: 262_144};

/**
 * Decides when to go on reading a response, so that one which brings bytes without end leaves the
 * event loop to others. It delays bytes and never drops any.
 */
export class ReadPace {
  private turnBytes = 0;
  private turnChunks = 0;
  private readonly streamBytes = new LeakyBucket(STREAM_BYTES);

  /** The long-run rate is for event streams alone; other bodies may be of any size. */
  constructor(private readonly isStream: boolean) {}

  /**
   * Records a chunk of this size that arrived at time `now`, in milliseconds. Returns the time for
   * which reading has to pause, in milliseconds; 0 until the next turn, undefined if it may go on.
   */
  recordBytes(bytes: number, now: number): number | undefined {
    this.turnBytes += bytes;
    this.turnChunks += ChunkMeter.isSmall(bytes) ? 1 : 0;
    if (this.isStream && !this.streamBytes.add(bytes, now)) {
      return this.streamBytes.excessMs(now);
    }
    const isTurnOver =
      this.turnBytes >= MAX_TURN_BYTES || this.turnChunks >= MAX_TURN_CHUNKS;
    return isTurnOver ? 0 : undefined;
  }

  /** Starts the next turn of the event loop. */
  startTurn(): void {
    this.turnBytes = 0;
    this.turnChunks = 0;
  }
}
