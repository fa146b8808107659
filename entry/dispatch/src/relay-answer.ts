import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {AttemptAnswer} from './attempt-client.js';

/** How the relay of a streamed answer ended. */
export type StreamEnd = 'whole' | 'torn' | 'cancelled';

/** Reads a whole answer; one without its end marker is a `TORN_ANSWER`. */
export async function collectAnswer(
  answer: AttemptAnswer,
  limitBytes: number,
): Promise<Result<Buffer, Fault>> {
  const body = await readBody(answer.message, limitBytes);
  return body.andThen(bytes =>
    isWhole(answer, bytes.length)
      ? Result.ok<Buffer, Fault>(bytes)
      : Result.err(new Fault('TORN_ANSWER', 'the answer has no end marker')),
  );
}

/** Streams an answer to the caller at the caller's pace; a torn one is never ended cleanly. */
export function streamAnswer(
  answer: AttemptAnswer,
  response: ServerResponse,
): Promise<StreamEnd> {
  return new Promise(resolve => {
    const {message} = answer;
    let bytes = 0;
    const tear = () => {
      response.destroy();
      resolve('torn');
    };
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (!response.write(chunk)) {
        message.pause();
      }
    });
    response.on('drain', () => message.resume());
    message.on('error', tear);
    message.on('close', () => {
      if (!message.complete) {
        tear();
      }
    });
    message.on('end', () => {
      if (message.complete && isWhole(answer, bytes)) {
        response.end(() => resolve('whole'));
      } else {
        tear();
      }
    });
    response.on('close', () => {
      message.destroy();
      resolve(response.writableFinished ? 'whole' : 'cancelled');
    });
  });
}

function isWhole(answer: AttemptAnswer, bytes: number): boolean {
  return answer.message.trailers[HOP_HEADERS.end] === String(bytes);
}
