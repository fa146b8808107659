import type {EventLog} from '@marigoldspur/event-log';
import type {z} from 'zod';
import {parseMessage} from './parse-message.js';
import type {ControlClient} from './control-client.js';

/** What a stream follower follows. */
export interface FollowedStream<T> {
  /** Name of the subscription. */
  readonly procedure: string;
  /** Where the stream goes on from. */
  readonly input: () => unknown;
  /** What each message has to be; one that is not ends the stream. */
  readonly schema: z.ZodType<T>;
  /** Takes each message; what it throws ends the stream. */
  readonly onMessage: (message: T) => void;
  /** Position of the replica to follow first; any one without it. */
  readonly firstReplica?: number;
}

/** Longest silence of a stream; control sends a message each second. */
const STALL_MS = 2_500;
const PAUSE_MS = 100;

/**
 * Keeps one subscription to control open. A replica that falls silent, can't confirm
 * its state, or doesn't lead is left for the next one.
 */
export class StreamFollower<T> {
  private readonly stopping = new AbortController();
  private turning = new AbortController();
  private loop: Promise<void> = Promise.resolve();
  private index: number;

  constructor(
    private readonly client: ControlClient,
    private readonly stream: FollowedStream<T>,
    private readonly events: EventLog,
  ) {
    this.index =
      stream.firstReplica ?? Math.floor(Math.random() * client.urls.length);
  }

  start(): void {
    this.loop = this.follow();
  }

  /** Leaves the replica that is followed now for the next one. */
  switchReplica(): void {
    this.turning.abort();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async follow(): Promise<void> {
    const {urls} = this.client;
    for (let failures = 0; !this.stopping.signal.aborted;) {
      const url = urls[this.index % urls.length];
      this.turning = new AbortController();
      let heard = false;
      const fault = await this.client.subscribe(url, {
        procedure: this.stream.procedure,
        input: this.stream.input(),
        idleTimeoutMs: STALL_MS,
        signal: AbortSignal.any([this.stopping.signal, this.turning.signal]),
        onMessage: message => {
          this.stream.onMessage(parseMessage(this.stream.schema, message));
          heard = true;
        },
      });
      if (this.stopping.signal.aborted) {
        return;
      }
      if (heard) {
        failures = 0;
      }
      if (heard || fault.code === 'CORRUPT_DATA') {
        this.events.record('stream-lost', {
          stream: this.stream.procedure,
          replica: url,
          fault: fault.code,
        });
      }
      const leader = fault.code === 'NOT_LEADER' ? fault.message : '';
      this.index = urls.includes(leader)
        ? urls.indexOf(leader)
        : (this.index + 1) % urls.length;
      failures += 1;
      if (failures >= urls.length) {
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
      }
    }
  }
}
