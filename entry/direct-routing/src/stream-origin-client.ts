import type http from 'node:http';
import {
  MAX_STREAM_ORIGINS,
  STREAM_ORIGIN_ANSWER_SCHEMA,
  STREAM_ORIGIN_LOOKUP_PATH,
  STREAM_ORIGINS_PATH,
  type StreamOrigin,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';

/** Options of a stream origin client. */
export interface StreamOriginClientOptions {
  readonly agent: http.Agent;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly events: EventLog;
}

/** What the replicas of control know of a stream. */
export interface LookupResult {
  /** The origin; undefined if no replica that answered knows it. */
  readonly origin: StreamOrigin | undefined;
  /** Number of replicas that answered. */
  readonly answers: number;
}

interface ReplicaQueue {
  pending: StreamOrigin[];
  isSending: boolean;
}

const SEND_TIMEOUT_MS = 1_000;
/** Time for the replicas to answer a lookup, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 500;
const MAX_RESPONSE_BYTES = 4_096;

/** Sends the origins of streams to all replicas of control, and looks them up there. */
export class StreamOriginClient {
  private readonly queues = new Map<string, ReplicaQueue>();

  constructor(private readonly options: StreamOriginClientOptions) {}

  /** Sends origins to all replicas. */
  broadcast(origins: readonly StreamOrigin[]): void {
    const replicas = this.options.replicas();
    replicas.forEach(replica => this.send(replica, origins));
    for (const replica of this.queues.keys()) {
      if (!replicas.includes(replica)) {
        this.queues.delete(replica);
      }
    }
  }

  /** Sends origins to one replica, together with those that wait for its last answer. */
  send(replica: string, origins: readonly StreamOrigin[]): void {
    if (origins.length === 0) {
      return;
    }
    const queue = this.queues.get(replica) ?? {pending: [], isSending: false};
    this.queues.set(replica, queue);
    queue.pending = [...queue.pending, ...origins].slice(-MAX_STREAM_ORIGINS);
    if (!queue.isSending) {
      void this.sendPending(replica, queue);
    }
  }

  /** Looks up the stream that a call began; resolves with the first replica that knows it. */
  lookUp(call: string): Promise<LookupResult> {
    const replicas = this.options.replicas();
    return new Promise(resolve => {
      let answers = 0;
      const requests = replicas.map(async replica => {
        const answer = await this.ask(replica, call);
        answers += answer === undefined ? 0 : 1;
        if (answer?.origin !== undefined) {
          resolve({origin: answer.origin, answers});
        }
      });
      void Promise.all(requests).then(() =>
        resolve({origin: undefined, answers}),
      );
    });
  }

  private async sendPending(
    replica: string,
    queue: ReplicaQueue,
  ): Promise<void> {
    queue.isSending = true;
    while (queue.pending.length > 0) {
      const origins = queue.pending;
      queue.pending = [];
      try {
        await exchangeJson({
          url: new URL(STREAM_ORIGINS_PATH, replica),
          body: {origins},
          agent: this.options.agent,
          signal: AbortSignal.timeout(SEND_TIMEOUT_MS),
          maxAnswerBytes: MAX_RESPONSE_BYTES,
        });
      } catch (thrown) {
        this.recordFailure(replica, thrown);
      }
    }
    queue.isSending = false;
  }

  /** Asks one replica; undefined if it does not answer. */
  private async ask(replica: string, call: string) {
    try {
      const answer = await exchangeJson({
        url: new URL(STREAM_ORIGIN_LOOKUP_PATH, replica),
        body: {call},
        agent: this.options.agent,
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
        maxAnswerBytes: MAX_RESPONSE_BYTES,
      });
      return STREAM_ORIGIN_ANSWER_SCHEMA.parse(answer);
    } catch (thrown) {
      this.recordFailure(replica, thrown);
      return undefined;
    }
  }

  private recordFailure(replica: string, thrown: unknown): void {
    const {message} = toFault(thrown);
    this.options.events.record('stream-origins-failed', {
      replica,
      reason: message,
    });
  }
}
