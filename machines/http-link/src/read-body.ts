import type {Readable} from 'node:stream';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {PieceList} from '@marigoldspur/request-bodies';

/** Reads a body of at most `limitBytes`. The fault is `TOO_LARGE`, or `TORN_ANSWER` for an incomplete body. */
export function readBody(
  stream: Readable & {complete?: boolean},
  limitBytes: number,
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
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) {
        pieces.add(chunk);
        return;
      }
      pieces = new PieceList();
      stream.pause();
      resolve(
        Result.err(
          new Fault('TOO_LARGE', `the body is larger than ${limitBytes} bytes`),
        ),
      );
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
