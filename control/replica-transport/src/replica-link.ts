import type http from 'node:http';
import {createTRPCClient, httpLink} from '@trpc/client';
import type {Message, ReplicaAddress} from '@marigoldspur/consensus';
import {createFetch} from '@marigoldspur/http-link';
import {DeliveryStream} from './delivery-stream.js';
import type {ReplicaRouter} from './replica-router.js';
import type {
  DeliveryAnswer,
  RequesterIdentity,
  ReplicaIdentity,
} from './replica-service.js';

/** Options of a link to another replica. */
export interface ReplicaLinkOptions {
  /** Address of this replica. */
  readonly from: ReplicaAddress;
  /** Base URL of the other replica. */
  readonly url: string;
  readonly agent: http.Agent;
  /** Timeout of one delivery, in milliseconds. */
  readonly timeoutMs: number;
  /** Handles the answer to a delivery. */
  readonly onAnswer: (answer: DeliveryAnswer) => void;
}

/**
 * Maximum number of queued messages. The oldest are dropped, because the protocol
 * tolerates loss.
 */
const MAX_QUEUED_MESSAGES = 4_096;

/**
 * Sends messages to one replica over a stream. Each delivery carries all messages
 * queued so far.
 */
export class ReplicaLink {
  /** Client for identity queries; deliveries use a separate stream. */
  private readonly client;
  private stream: DeliveryStream | undefined;
  private queue: Message[] = [];
  private isSending = false;
  /**
   * Number of deliveries from the other replica in progress; their answers carry our
   * messages.
   */
  private incomingDeliveries = 0;
  private isClosed = false;

  constructor(private readonly options: ReplicaLinkOptions) {
    this.client = createTRPCClient<ReplicaRouter>({
      links: [
        httpLink({
          url: `${options.url}/trpc/log`,
          fetch: createFetch(options.agent),
        }),
      ],
    });
  }

  get url(): string {
    return this.options.url;
  }

  /**
   * Queues a message, which is sent with the answer in progress or with the next
   * delivery.
   */
  enqueue(message: Message): void {
    this.queue.push(message);
    if (this.queue.length > MAX_QUEUED_MESSAGES) {
      this.queue.shift();
    }
    void this.send();
  }

  /**
   * Processes a delivery from the other replica; resolves to the messages for its
   * answer.
   */
  async handleDelivery(
    processDelivery: () => Promise<void>,
  ): Promise<readonly Message[]> {
    this.incomingDeliveries += 1;
    try {
      await processDelivery();
      return this.takeQueued();
    } finally {
      this.incomingDeliveries -= 1;
      void this.send();
    }
  }

  /** Fetches the identity of the other replica; `from` identifies the caller. */
  fetchIdentity(from?: RequesterIdentity): Promise<ReplicaIdentity> {
    return this.client.identity.query(from, {
      signal: AbortSignal.timeout(this.options.timeoutMs),
    });
  }

  /** Drops the queued messages and ends the stream; nothing is sent afterwards. */
  close(): void {
    this.queue = [];
    this.isClosed = true;
    this.stream?.end();
  }

  private async send(): Promise<void> {
    if (this.isSending || this.isClosed || this.incomingDeliveries > 0) {
      return;
    }
    this.isSending = true;
    while (this.queue.length > 0 && !this.isClosed) {
      await this.deliver(this.takeQueued());
    }
    this.isSending = false;
  }

  private async deliver(messages: Message[]): Promise<void> {
    const {from, onAnswer} = this.options;
    const answer = await this.openStream().deliver({from, messages});
    if (answer !== undefined && !this.isClosed) {
      onAnswer(answer);
    }
  }

  private openStream(): DeliveryStream {
    if (this.stream === undefined || this.stream.isEnded) {
      this.stream = new DeliveryStream(this.options);
    }
    return this.stream;
  }

  private takeQueued(): Message[] {
    const taken = this.queue;
    this.queue = [];
    return taken;
  }
}
