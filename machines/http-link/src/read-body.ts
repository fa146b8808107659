import type {Readable} from 'node:stream';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {
  ChunkLimit,
  PieceList,
  type ChunkCheck,
} from '@marigoldspur/request-bodies';

/**
 * Reads a body of at most `limitBytes`. The fault is `TOO_LARGE`, also for too many and too small
 * chunks, or `TORN_ANSWER` for an incomplete body.
 */
export function readBody(
  stream: Readable & {complete?: boolean},
  limitBytes: number,
  chunkCheck: ChunkCheck = new ChunkLimit(),
): Promise<Result<Buffer, Fault>> {
  return new Promise(resolve => {
    let pieces = new PieceList();
    let size = 0;
    let isComplete = false;
    const failIncomplete = () => {
      if (!isComplete) {
        resolve(
          Result.err(
            new Fault('TORN_ANSWER', 'the body ended before it was complete'),
          ),
        );
      }
    };
    const refuse = (reason: string) => {
      pieces = new PieceList();
      stream.pause();
      resolve(Result.err(new Fault('TOO_LARGE', reason)));
    };
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        refuse(`the body is larger than ${limitBytes} bytes`);
      } else if (!chunkCheck.record(chunk.length, performance.now())) {
        refuse('the body comes in too many small chunks');
      } else {
        pieces.add(chunk);
      }
    });
    stream.on('end', () => {
      if (stream.complete === false) {
        failIncomplete();
        return;
      }
      isComplete = true;
      resolve(Result.ok(Buffer.concat(pieces.finish())));
    });
    stream.on('error', failIncomplete);
    stream.on('close', failIncomplete);
  });
}
