import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {
  ChunkLimit,
  ChunkRateLimit,
  type ChunkCheck,
} from '@marigoldspur/request-bodies';
import {readAnswer} from './read-answer.js';

/** Maximum time for which a request waits because earlier answers came in small chunks, in milliseconds. */
const MAX_WAIT_MS = 1_000;

/**
 * Reads the answers of one peer that is asked again and again. Small chunks beyond a rate delay the
 * next request; once an answer was not whole, requests fail until the rate is kept again.
 */
export class AnswerPace {
  private readonly chunkRate = new ChunkRateLimit();
  private wasWhole = true;

  /** Resolves when the peer may be asked at time `now`, in milliseconds, or with the fault of the request. */
  async admit(now: number): Promise<Result<void, Fault>> {
    const waitMs = this.chunkRate.excessMs(now);
    if (waitMs > 0 && !this.wasWhole) {
      const message = `the answers come in too many small chunks; nothing is asked for ${waitMs} ms`;
      return Result.err(new Fault('UNAVAILABLE', message));
    }
    if (waitMs > 0) {
      await pause(Math.min(waitMs, MAX_WAIT_MS));
    }
    return Result.ok(undefined);
  }

  /** Reads an answer as `readAnswer` does. */
  async read(
    answer: http.IncomingMessage,
    limitBytes: number,
  ): Promise<Result<Buffer, Fault>> {
    const body = await readAnswer(answer, limitBytes, this.createCheck());
    this.wasWhole = body.isOk;
    return body;
  }

  private createCheck(): ChunkCheck {
    const limit = new ChunkLimit();
    return {
      record: (byteLength, now) => {
        this.chunkRate.record(byteLength, now);
        return limit.record(byteLength);
      },
    };
  }
}
