import {LeakyBucket} from './leaky-bucket.js';

/** Number of chunks of a body that may be of any size; a body of 64 KiB may come byte by byte. */
const FREE_CHUNKS = 65_536;
/**
 * Mean size from which on a body may have any number of chunks, in bytes. A chunk of 64 bytes may
 * come in two parts, each of which counts.
 */
const MIN_MEAN_BYTES = 32;
/** Chunks of any size that a stream may bring per second in the long run. */
const STREAM_CHUNKS_PER_SECOND = 8_192;

/** Decides whether reading the chunks of a body takes the time of others. */
export interface ChunkCheck {
  /** Records a chunk that arrived at time `now`, in milliseconds; whether the body may go on. */
  record(byteLength: number, now: number): boolean;
}

/** Limits the number of small chunks of a body. */
export class ChunkLimit implements ChunkCheck {
  private chunks = 0;
  private bytes = 0;

  record(byteLength: number): boolean {
    this.chunks += 1;
    this.bytes += byteLength;
    return (
      this.chunks <= FREE_CHUNKS || this.bytes >= this.chunks * MIN_MEAN_BYTES
    );
  }
}

/** Limits the rate of small chunks of a body that may last for days. */
export class ChunkRateLimit implements ChunkCheck {
  private readonly chunks = new LeakyBucket({
    capacity: FREE_CHUNKS,
    perSecond: STREAM_CHUNKS_PER_SECOND,
  });

  record(byteLength: number, now: number): boolean {
    return this.chunks.add(1 - byteLength / MIN_MEAN_BYTES, now);
  }

  /** Time from `now` until the body may go on, in milliseconds; 0 if it may already. */
  excessMs(now: number): number {
    return this.chunks.excessMs(now);
  }
}
