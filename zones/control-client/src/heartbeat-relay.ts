import {Fault} from '@marigoldspur/faults';
import {createJsonStreamHandler} from '@marigoldspur/http-link';
import {
  HeartbeatBatcher,
  type LoadReportStore,
  type RelayIdentity,
} from '@marigoldspur/membership';
import {
  BATCH_ANSWER_SCHEMA,
  HEARTBEAT_BATCH_PATH,
  RELAYED_HEARTBEAT_SCHEMA,
  omitEmptyLists,
  type RelayedAnswer,
} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';
import {MessageStream} from './message-stream.js';

/** Interval between two batches, in milliseconds. */
const BATCH_INTERVAL_MS = 500;
/** Time for which urgent heartbeats are collected into a batch, in milliseconds. */
const URGENT_BATCH_DELAY_MS = 50;
/** Timeout for the answer to a batch, in milliseconds. */
const BATCH_TIMEOUT_MS = 700;
const MAX_HEARTBEAT_BYTES = 1_048_576;

/**
 * Relays the heartbeats of a zone: an entry collects them and sends them in batches to
 * the leader of control. The load reports stay at the entry.
 */
export class HeartbeatRelay {
  private readonly batcher: HeartbeatBatcher;
  private readonly batchStream: MessageStream;
  private timer?: NodeJS.Timeout;
  private nextBatchAt = Infinity;
  private isSending = false;
  private isStopped = false;

  /** Handles a request to `HEARTBEAT_RELAY_PATH`, a stream with one heartbeat per line. */
  readonly handle = createJsonStreamHandler({
    maxBodyBytes: MAX_HEARTBEAT_BYTES,
    answer: message => this.receive(message),
  });

  constructor(
    private readonly client: ControlClient,
    relay: RelayIdentity,
    loads: LoadReportStore,
  ) {
    this.batcher = new HeartbeatBatcher(relay, loads);
    this.batchStream = new MessageStream(client, HEARTBEAT_BATCH_PATH);
  }

  /** Number of members that the relay renews. */
  get size(): number {
    return this.batcher.size;
  }

  /** Answers the waiting heartbeats with `cut-off` and ends the stream to control. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.batcher.handleFailure('cut-off');
    this.batchStream.end();
  }

  private receive(message: unknown): Promise<RelayedAnswer> {
    const heartbeat = RELAYED_HEARTBEAT_SCHEMA.safeParse(message);
    if (!heartbeat.success) {
      throw new Fault('INVALID_INPUT', heartbeat.error.message);
    }
    if (this.isStopped) {
      return Promise.resolve({outcome: 'cut-off'});
    }
    const now = performance.now();
    const answer = this.batcher.receive(heartbeat.data, now);
    this.schedule(
      now + (this.batcher.isUrgent ? URGENT_BATCH_DELAY_MS : BATCH_INTERVAL_MS),
    );
    return answer;
  }

  private schedule(at: number): void {
    if (this.isStopped || this.isSending || at >= this.nextBatchAt) {
      return;
    }
    clearTimeout(this.timer);
    this.nextBatchAt = at;
    const waitMs = Math.max(0, at - performance.now());
    this.timer = setTimeout(() => void this.send(), waitMs);
  }

  private async send(): Promise<void> {
    this.isSending = true;
    const sentAt = performance.now();
    const batch = this.batcher.createBatch(sentAt);
    const result = await this.client.tryReplicas(
      (url, timeoutMs) =>
        this.batchStream.exchange(url, omitEmptyLists(batch), {
          schema: BATCH_ANSWER_SCHEMA,
          timeoutMs,
        }),
      sentAt + BATCH_TIMEOUT_MS,
    );
    const now = performance.now();
    if (result.isOk) {
      this.batcher.handleAnswer(batch, result.value, sentAt, now);
    } else {
      this.batcher.handleFailure(
        NO_LEADER_CODES.has(result.error.code) ? 'no-leader' : 'cut-off',
      );
    }
    this.isSending = false;
    this.nextBatchAt = Infinity;
    if (this.batcher.size > 0) {
      const isUrgent = result.isOk && this.batcher.isUrgent;
      this.schedule(
        isUrgent ? now + URGENT_BATCH_DELAY_MS : sentAt + BATCH_INTERVAL_MS,
      );
    }
  }
}

const NO_LEADER_CODES: ReadonlySet<string> = new Set([
  'NOT_LEADER',
  'NO_QUORUM',
]);
