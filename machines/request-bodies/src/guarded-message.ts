import {IncomingMessage} from 'node:http';
import {ChunkLimit, type ChunkCheck} from './chunk-limit.js';

/** Watches how the body of a request arrives. */
export interface BodyWatch {
  /** Called once when the whole request has arrived. */
  onComplete(): void;
  /** Called once when its chunks are too many and too small. */
  onTooManyChunks(): void;
}

/** A request whose body is watched while it arrives, whoever reads it. */
export class GuardedMessage extends IncomingMessage {
  private chunkCheck: ChunkCheck = new ChunkLimit();
  private watch: BodyWatch | undefined;
  private hasArrived = false;
  /** Takes the rest of the body; returns whether the connection is read on. */
  private dropChunk: ((byteLength: number) => boolean) | undefined;

  /** Tells `watch` how the body arrives from now on; `chunkCheck` decides which chunks are too many. */
  watchBody(watch: BodyWatch, chunkCheck: ChunkCheck = this.chunkCheck): void {
    this.watch = watch;
    this.chunkCheck = chunkCheck;
    if (this.hasArrived) {
      watch.onComplete();
    }
  }

  /**
   * Drops what is still to come of the body before it takes memory. `isReadOn` is called for each
   * chunk; if it returns false, the connection is paused.
   */
  dropBody(isReadOn: (byteLength: number) => boolean = () => true): void {
    this.dropChunk = isReadOn;
    this.resume();
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.hasArrived = true;
      this.watch?.onComplete();
      return super.push(chunk, encoding);
    }
    const {chunkCheck, watch} = this;
    if (
      watch !== undefined &&
      !chunkCheck.record(chunk.length, performance.now())
    ) {
      watch.onTooManyChunks();
      this.watch = undefined;
      this.dropChunk = () => false;
    }
    return this.dropChunk === undefined
      ? super.push(chunk, encoding)
      : this.dropChunk(chunk.length);
  }
}
