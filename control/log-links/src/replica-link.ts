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
  /** This replica. */
  readonly from: ReplicaAddress;
  /** Base URL of the other. */
  readonly url: string;
  readonly agent: http.Agent;
  /** Longest time of one delivery, in milliseconds. */
  readonly timeoutMs: number;
  /** Takes the answer to a delivery. */
  readonly onAnswer: (answer: DeliveryAnswer) => void;
}

/** Messages that may wait; the oldest are dropped, as a network may drop any. */
const MAX_WAITING = 4_096;

/** Sends messages to one replica over one stream: one delivery at a time, all that wait together. */
export class ReplicaLink {
  /** Asks for the identity only; deliveries have a stream of their own. */
  private readonly client;
  private stream: DeliveryStream | undefined;
  private waiting: Message[] = [];
  private sending = false;
  /** Deliveries from the other side that are in work: their answers carry our messages. */
  private answering = 0;
  private closed = false;

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

  /** Sends a message, with the answer that is in work or with the next delivery. */
  enqueue(message: Message): void {
    this.waiting.push(message);
    if (this.waiting.length > MAX_WAITING) {
      this.waiting.shift();
    }
    void this.send();
  }

  /** Runs the work on a delivery from the other side; resolves to the messages for its answer. */
  async handleDelivery(work: () => Promise<void>): Promise<readonly Message[]> {
    this.answering += 1;
    try {
      await work();
      return this.take();
    } finally {
      this.answering -= 1;
      void this.send();
    }
  }

  /** Asks who answers at the URL, and says who asks. */
  fetchIdentity(from?: RequesterIdentity): Promise<ReplicaIdentity> {
    return this.client.identity.query(from, {
      signal: AbortSignal.timeout(this.options.timeoutMs),
    });
  }

  /** Drops what waits and sends nothing more. */
  close(): void {
    this.waiting = [];
    this.closed = true;
    this.stream?.end();
  }

  private async send(): Promise<void> {
    if (this.sending || this.closed || this.answering > 0) {
      return;
    }
    this.sending = true;
    while (this.waiting.length > 0 && !this.closed) {
      await this.deliver(this.take());
    }
    this.sending = false;
  }

  private async deliver(messages: Message[]): Promise<void> {
    const {from, onAnswer} = this.options;
    const answer = await this.openStream().deliver({from, messages});
    if (answer !== undefined && !this.closed) {
      onAnswer(answer);
    }
  }

  private openStream(): DeliveryStream {
    if (this.stream === undefined || this.stream.isEnded) {
      this.stream = new DeliveryStream(this.options);
    }
    return this.stream;
  }

  private take(): Message[] {
    const taken = this.waiting;
    this.waiting = [];
    return taken;
  }
}
