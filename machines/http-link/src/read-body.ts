import type {Readable} from 'node:stream';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';

/** Reads a whole body of at most `limitBytes`; a torn one is a `TORN_ANSWER`. */
export function readBody(
  stream: Readable & {complete?: boolean},
  limitBytes: number,
): Promise<Result<Buffer, Fault>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    let whole = false;
    const torn = () => {
      if (!whole) {
        resolve(Result.err(new Fault('TORN_ANSWER', 'the body broke off')));
      }
    };
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      stream.pause();
      resolve(
        Result.err(
          new Fault('TOO_LARGE', `the body is over ${limitBytes} bytes`),
        ),
      );
    });
    stream.on('end', () => {
      if (stream.complete === false) {
        torn();
        return;
      }
      whole = true;
      resolve(Result.ok(Buffer.concat(chunks)));
    });
    stream.on('error', torn);
    stream.on('close', torn);
  });
}
