import type http from 'node:http';
import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {ChunkCheck} from '@marigoldspur/request-bodies';
import {readBody} from './read-body.js';

/**
 * Reads the body of an answer, of at most `limitBytes`, and closes the connection of one that
 * cannot be read. The faults are those of `readBody`.
 */
export async function readAnswer(
  answer: http.IncomingMessage,
  limitBytes: number,
  chunkCheck?: ChunkCheck,
): Promise<Result<Buffer, Fault>> {
  const body = await readBody(answer, limitBytes, chunkCheck);
  if (body.isErr) {
    answer.destroy();
  }
  return body;
}
