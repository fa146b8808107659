import {LeakyBucket} from '@marigoldspur/request-bodies';

/** Size from which on a chunk can hold an event, in bytes: `data:x` and two line feeds. */
const MIN_EVENT_BYTES = 8;
/** Smaller chunks that a body may have; one of 64 KiB may come byte by byte at once, a slow one for hours. */
const TINY_CHUNKS = {capacity: 65_536, perSecond: 1_024};

/** Decides from when on the chunks of a body are too many and too small for an answer. */
export class TinyChunkLimit {
  private readonly chunks = new LeakyBucket(TINY_CHUNKS);
  private hasExceeded = false;

  /** Whether the body has exceeded the limit. */
  get isExceeded(): boolean {
    return this.hasExceeded;
  }

  /** Records a chunk of this size that arrived at time `now`, in milliseconds. */
  record(bytes: number, now: number): void {
    if (bytes < MIN_EVENT_BYTES && !this.chunks.add(1, now)) {
      this.hasExceeded = true;
    }
  }
}
