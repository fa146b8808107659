import type {JsonStream} from '@marigoldspur/http-link';
import type {z} from 'zod';
import {parseMessage} from './parse-message.js';
import type {ControlClient} from './control-client.js';

/** Messages to one process at a time, each after the answer to the one before, over a stream that is kept. */
export class MessageStream {
  private base?: string;
  private stream?: JsonStream;

  /** `path` is that of the messages at each process. */
  constructor(
    private readonly client: Pick<ControlClient, 'openStream'>,
    private readonly path: string,
  ) {}

  /** Sends a process a message; throws a `Fault`. */
  async exchange<T>(
    base: string,
    message: unknown,
    options: {readonly schema: z.ZodType<T>; readonly timeoutMs: number},
  ): Promise<T> {
    const stream = this.streamTo(base);
    const answer = await stream.exchange(message, options.timeoutMs);
    return parseMessage(options.schema, answer);
  }

  /** Ends the stream; the next message opens another one. */
  end(): void {
    this.stream?.end();
    this.stream = undefined;
  }

  private streamTo(base: string): JsonStream {
    if (this.base !== base || this.stream?.isEnded === true) {
      this.end();
    }
    this.base = base;
    this.stream ??= this.client.openStream(new URL(this.path, base));
    return this.stream;
  }
}
