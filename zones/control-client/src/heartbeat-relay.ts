import {Fault} from '@marigoldspur/faults';
import {jsonStreamHandler} from '@marigoldspur/http-link';
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

/** Time between two batches, in milliseconds. */
const BATCH_MS = 500;
/** Time in which urgent news are gathered, in milliseconds. */
const URGENT_MS = 50;
/** Longest time until a batch is answered, in milliseconds. */
const BATCH_TIMEOUT_MS = 700;
const MAX_HEARTBEAT_BYTES = 1_048_576;

/**
 * Gathers the heartbeats of a zone at an entry and passes them on to the leader of
 * control, but for the load reports, which stay on a board here.
 */
export class HeartbeatRelay {
  private readonly gathering: HeartbeatBatcher;
  private readonly batches: MessageStream;
  private timer?: NodeJS.Timeout;
  private nextAt = Infinity;
  private sending = false;
  private stopped = false;

  /** Answers a request to `RELAY_PATH`, with a heartbeat a line. */
  readonly handle = jsonStreamHandler({
    maxBodyBytes: MAX_HEARTBEAT_BYTES,
    answer: message => this.hear(message),
  });

  constructor(
    private readonly client: ControlClient,
    relay: RelayIdentity,
    loads: LoadReportStore,
  ) {
    this.gathering = new HeartbeatBatcher(relay, loads);
    this.batches = new MessageStream(client, HEARTBEAT_BATCH_PATH);
  }

  /** Members that the relay speaks for. */
  get size(): number {
    return this.gathering.size;
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.gathering.handleFailure('cut-off');
    this.batches.end();
  }

  private hear(message: unknown): Promise<RelayedAnswer> {
    const heartbeat = RELAYED_HEARTBEAT_SCHEMA.safeParse(message);
    if (!heartbeat.success) {
      throw new Fault('INVALID_INPUT', heartbeat.error.message);
    }
    if (this.stopped) {
      return Promise.resolve({outcome: 'cut-off'});
    }
    const now = performance.now();
    const answer = this.gathering.receive(heartbeat.data, now);
    this.schedule(now + (this.gathering.isUrgent ? URGENT_MS : BATCH_MS));
    return answer;
  }

  private schedule(at: number): void {
    if (this.stopped || this.sending || at >= this.nextAt) {
      return;
    }
    clearTimeout(this.timer);
    this.nextAt = at;
    const waitMs = Math.max(0, at - performance.now());
    this.timer = setTimeout(() => void this.send(), waitMs);
  }

  private async send(): Promise<void> {
    this.sending = true;
    const sentAt = performance.now();
    const batch = this.gathering.createBatch(sentAt);
    const result = await this.client.tryReplicas(
      (url, timeoutMs) =>
        this.batches.exchange(url, omitEmptyLists(batch), {
          schema: BATCH_ANSWER_SCHEMA,
          timeoutMs,
        }),
      sentAt + BATCH_TIMEOUT_MS,
    );
    const now = performance.now();
    if (result.isOk) {
      this.gathering.handleAnswer(batch, result.value, sentAt, now);
    } else {
      this.gathering.handleFailure(
        NO_LEADER_CODES.has(result.error.code) ? 'no-leader' : 'cut-off',
      );
    }
    this.sending = false;
    this.nextAt = Infinity;
    if (this.gathering.size > 0) {
      const urgent = result.isOk && this.gathering.isUrgent;
      this.schedule(urgent ? now + URGENT_MS : sentAt + BATCH_MS);
    }
  }
}

const NO_LEADER_CODES: ReadonlySet<string> = new Set([
  'NOT_LEADER',
  'NO_QUORUM',
]);
