import type {JsonStream} from '@marigoldspur/http-link';
import type {z} from 'zod';
import {parseMessage} from './parse-message.js';
import type {ControlClient} from './control-client.js';

/** Sends messages to one process at a time over a persistent stream, each after the previous answer. */
export class MessageStream {
  private baseUrl?: string;
  private stream?: JsonStream;

  /** `path` is the URL path of the stream at each process. */
  constructor(
    private readonly client: Pick<ControlClient, 'openStream'>,
    private readonly path: string,
  ) {}

  /** Sends a message to a process and returns the answer; throws a `Fault` on failure. */
  async exchange<T>(
    baseUrl: string,
    message: unknown,
    options: {readonly schema: z.ZodType<T>; readonly timeoutMs: number},
  ): Promise<T> {
    const stream = this.openStream(baseUrl);
    const answer = await stream.exchange(message, options.timeoutMs);
    return parseMessage(options.schema, answer);
  }

  /** Ends the stream; the next message opens a new one. */
  end(): void {
    this.stream?.end();
    this.stream = undefined;
  }

  private openStream(baseUrl: string): JsonStream {
    if (this.baseUrl !== baseUrl || this.stream?.isEnded === true) {
      this.end();
    }
    this.baseUrl = baseUrl;
    this.stream ??= this.client.openStream(new URL(this.path, baseUrl));
    return this.stream;
  }
}
