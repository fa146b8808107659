import {LeakyBucket} from '@marigoldspur/request-bodies';

/** Size from which on a chunk takes no longer than its bytes. */
const MIN_LARGE_BYTES = 512;
/**
 * Small chunks that one peer may bring, on all connections together. A body of 64 KiB may come byte by
 * byte at once; the rate is several times what an engine writes.
 */
const SMALL_CHUNKS = {capacity: 65_536, perSecond: 8_192};

/**
 * Counts the small chunks of all responses of one peer. Each takes the processor time and the memory of
 * many bytes, however small it is.
 */
export class ChunkMeter {
  private readonly chunks = new LeakyBucket(SMALL_CHUNKS);

  /** Whether a chunk takes longer than its bytes. */
  static isSmall(bytes: number): boolean {
    return bytes < MIN_LARGE_BYTES;
  }

  /**
   * Records a chunk of this size that arrived at time `now`, in milliseconds. Returns the time for
   * which its response has to pause, in milliseconds; 0 if it may go on.
   */
  record(bytes: number, now: number): number {
    if (!ChunkMeter.isSmall(bytes)) {
      return 0;
    }
    this.chunks.add(1, now);
    return this.chunks.excessMs(now);
  }
}
