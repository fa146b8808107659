import type {Readable} from 'node:stream';
import {LeakyBucket} from '@marigoldspur/request-bodies';

/** Options of a limit on the rate at which a stream is read. */
export interface ReadRateOptions {
  /** Bytes that may come at once. */
  readonly burstBytes: number;
  /** Bytes per second in the long run. */
  readonly bytesPerSecond: number;
}

/** Bytes that a chunk counts for beside its own; reading one takes as long as many bytes. */
const CHUNK_BYTES = 256;

/**
 * Pauses a stream while it comes faster than a rate, so that its sender takes no more of the process;
 * nothing is dropped. Returns a function that ends the limit and leaves the stream as it is.
 */
export function limitReadRate(
  stream: Readable,
  {burstBytes, bytesPerSecond}: ReadRateOptions,
): () => void {
  const bucket = new LeakyBucket({
    capacity: burstBytes,
    perSecond: bytesPerSecond,
  });
  let timer: NodeJS.Timeout | undefined;
  const resume = () => {
    timer = undefined;
    stream.resume();
  };
  const count = (chunk: Buffer | string) => {
    const now = performance.now();
    const isWithin = bucket.add(chunk.length + CHUNK_BYTES, now);
    if (!isWithin && timer === undefined) {
      stream.pause();
      timer = setTimeout(resume, bucket.excessMs(now));
    }
  };
  stream.on('data', count);
  return () => {
    stream.off('data', count);
    clearTimeout(timer);
  };
}
