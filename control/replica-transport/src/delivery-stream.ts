import type http from 'node:http';
import {LineReader, openRequest} from '@marigoldspur/http-link';
import {DELIVERY_PATH, MAX_LINE_BYTES} from './delivery-handler.js';
import {
  DELIVERY_ANSWER_SCHEMA,
  type Delivery,
  type DeliveryAnswer,
} from './replica-service.js';

/** Options of a delivery stream. */
export interface DeliveryStreamOptions {
  /** Base URL of the other replica. */
  readonly url: string;
  readonly agent: http.Agent;
  /** Timeout for the answer to a delivery, in milliseconds. */
  readonly timeoutMs: number;
}

type ResolveDelivery = (answer: DeliveryAnswer | undefined) => void;

const STATUS_OK = 200;

/**
 * Sends deliveries to one replica, one at a time, over a single long-lived HTTP request.
 * Each line of the request body is a delivery, and each line of the response body is an
 * answer. The stream ends if a delivery is not answered in time.
 */
export class DeliveryStream {
  private readonly request: http.ClientRequest;
  private readonly reader = new LineReader(MAX_LINE_BYTES);
  private pending: ResolveDelivery | undefined;
  private timer: NodeJS.Timeout | undefined;
  private ended = false;

  constructor(private readonly options: DeliveryStreamOptions) {
    this.request = openRequest({
      url: new URL(DELIVERY_PATH, options.url),
      method: 'POST',
      headers: {'content-type': 'application/x-ndjson'},
      agent: options.agent,
    });
    this.request.on('error', () => this.end());
    this.request.on('close', () => this.end());
    this.request.on('response', response => this.handleResponse(response));
  }

  /** Whether the stream has ended and cannot send further deliveries. */
  get isEnded(): boolean {
    return this.ended;
  }

  /**
   * Sends a delivery and returns its answer, or undefined if the stream ends first. The
   * previous delivery must have been answered.
   */
  deliver(delivery: Delivery): Promise<DeliveryAnswer | undefined> {
    return new Promise(resolve => {
      if (this.ended) {
        resolve(undefined);
        return;
      }
      this.pending = resolve;
      this.timer = setTimeout(() => this.end(), this.options.timeoutMs);
      this.request.write(`${JSON.stringify(delivery)}\n`);
    });
  }

  /** Ends the stream; a pending delivery resolves to undefined. */
  end(): void {
    if (!this.ended) {
      this.ended = true;
      this.resolvePending(undefined);
      this.request.destroy();
    }
  }

  private handleResponse(response: http.IncomingMessage): void {
    response.on('error', () => this.end());
    response.on('close', () => this.end());
    if (response.statusCode !== STATUS_OK) {
      this.end();
      return;
    }
    response.on('data', (chunk: Buffer) => this.handleChunk(chunk));
  }

  private handleChunk(chunk: Buffer): void {
    try {
      for (const line of this.reader.push(chunk)) {
        this.resolvePending(DELIVERY_ANSWER_SCHEMA.parse(JSON.parse(line)));
      }
    } catch {
      this.end();
    }
  }

  private resolvePending(answer: DeliveryAnswer | undefined): void {
    const {pending} = this;
    clearTimeout(this.timer);
    this.pending = undefined;
    pending?.(answer);
  }
}
