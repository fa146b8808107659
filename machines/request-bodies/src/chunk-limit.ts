/** Number of chunks of a body that may be of any size; a body of 64 KiB may come byte by byte. */
const FREE_CHUNKS = 65_536;
/**
 * Mean size from which on a body may have any number of chunks, in bytes. A chunk of 64 bytes may
 * come in two parts, each of which counts.
 */
const MIN_MEAN_BYTES = 32;

/** Whether the chunks of a body are so many and so small that reading them takes the time of others. */
export class ChunkLimit {
  private chunks = 0;
  private bytes = 0;

  /** Records a chunk; whether the body may go on. */
  record(byteLength: number): boolean {
    this.chunks += 1;
    this.bytes += byteLength;
    return (
      this.chunks <= FREE_CHUNKS || this.bytes >= this.chunks * MIN_MEAN_BYTES
    );
  }
}
