import type {EventLog} from '@marigoldspur/event-log';
import type {z} from 'zod';
import {parseMessage} from './parse-message.js';
import type {ControlClient} from './control-client.js';

/** The subscription of a stream follower. */
export interface FollowedStream<T> {
  /** Name of the subscription. */
  readonly procedure: string;
  /** Returns the position from which the stream continues. */
  readonly input: () => unknown;
  /** Schema of the messages; an invalid message ends the stream. */
  readonly schema: z.ZodType<T>;
  /** Called with each message; an exception ends the stream. */
  readonly onMessage: (message: T) => void;
  /** Index of the replica to follow first; random by default. */
  readonly firstReplica?: number;
}

/** Time without data after which a stream ends; control sends a message each second. */
const IDLE_TIMEOUT_MS = 2_500;
const RETRY_DELAY_MS = 100;

/**
 * Keeps one subscription to control open. It switches to the next replica when one sends
 * nothing, cannot confirm its state, or is not the leader.
 */
export class StreamFollower<T> {
  private readonly stopController = new AbortController();
  private switchController = new AbortController();
  private loop: Promise<void> = Promise.resolve();
  private replicaIndex: number;

  constructor(
    private readonly client: ControlClient,
    private readonly stream: FollowedStream<T>,
    private readonly events: EventLog,
  ) {
    this.replicaIndex =
      stream.firstReplica ?? Math.floor(Math.random() * client.urls.length);
  }

  /** Starts following the replicas until `stop` is called. */
  start(): void {
    this.loop = this.follow();
  }

  /** Switches from the current replica to the next one. */
  switchReplica(): void {
    this.switchController.abort();
  }

  /** Ends the subscription; resolves once it has ended. */
  async stop(): Promise<void> {
    this.stopController.abort();
    await this.loop;
  }

  private async follow(): Promise<void> {
    const {urls} = this.client;
    for (let failures = 0; !this.stopController.signal.aborted;) {
      const url = urls[this.replicaIndex % urls.length];
      this.switchController = new AbortController();
      let hasReceived = false;
      const fault = await this.client.subscribe(url, {
        procedure: this.stream.procedure,
        input: this.stream.input(),
        idleTimeoutMs: IDLE_TIMEOUT_MS,
        signal: AbortSignal.any([
          this.stopController.signal,
          this.switchController.signal,
        ]),
        onMessage: message => {
          this.stream.onMessage(parseMessage(this.stream.schema, message));
          hasReceived = true;
        },
      });
      if (this.stopController.signal.aborted) {
        return;
      }
      if (hasReceived) {
        failures = 0;
      }
      if (hasReceived || fault.code === 'CORRUPT_DATA') {
        this.events.record('stream-lost', {
          stream: this.stream.procedure,
          replica: url,
          fault: fault.code,
        });
      }
      const leader = fault.code === 'NOT_LEADER' ? fault.message : '';
      this.replicaIndex = urls.includes(leader)
        ? urls.indexOf(leader)
        : (this.replicaIndex + 1) % urls.length;
      failures += 1;
      if (failures >= urls.length) {
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
  }
}
