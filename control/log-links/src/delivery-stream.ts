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
  /** Longest time until a delivery is answered, in milliseconds. */
  readonly timeoutMs: number;
}

type Resolve = (answer: DeliveryAnswer | undefined) => void;

const HTTP_OK = 200;

/**
 * Deliveries to one replica, one after the other, over one long-lived request:
 * its body carries a delivery a line, the body of the response an answer a line.
 * A delivery that is not answered in time ends the stream.
 */
export class DeliveryStream {
  private readonly request: http.ClientRequest;
  private readonly reader = new LineReader(MAX_LINE_BYTES);
  private pending: Resolve | undefined;
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
    this.request.on('response', response => this.read(response));
  }

  /** Whether the stream can carry no further delivery. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Sends a delivery, after the one before was answered; undefined where the answer is lost. */
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

  /** Ends the stream; a delivery that is on its way counts as lost. */
  end(): void {
    if (!this.ended) {
      this.ended = true;
      this.settle(undefined);
      this.request.destroy();
    }
  }

  private read(response: http.IncomingMessage): void {
    response.on('error', () => this.end());
    response.on('close', () => this.end());
    if (response.statusCode !== HTTP_OK) {
      this.end();
      return;
    }
    response.on('data', (piece: Buffer) => this.take(piece));
  }

  private take(piece: Buffer): void {
    try {
      for (const line of this.reader.push(piece)) {
        this.settle(DELIVERY_ANSWER_SCHEMA.parse(JSON.parse(line)));
      }
    } catch {
      this.end();
    }
  }

  private settle(answer: DeliveryAnswer | undefined): void {
    const {pending} = this;
    clearTimeout(this.timer);
    this.pending = undefined;
    pending?.(answer);
  }
}
