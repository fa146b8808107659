import type http from 'node:http';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {LineReader} from './line-reader.js';
import {openRequest} from './open-request.js';

/** Options of a stream of JSON messages to another process. */
export interface JsonStreamOptions {
  readonly url: URL;
  readonly agent: http.Agent;
  /** Maximum size of an answer, in bytes. */
  readonly maxAnswerBytes: number;
}

/** One line of the answer stream. */
export type JsonStreamAnswer =
  | {readonly answer: unknown}
  | {readonly fault: FaultCode; readonly message: string};

interface PendingExchange {
  readonly resolve: (answer: unknown) => void;
  readonly reject: (fault: Fault) => void;
}

const STATUS_OK = 200;

/**
 * Sends JSON messages to one process, one after the other, over a single long-lived request.
 * The request body contains one message per line, the response body one answer per line. A
 * message that gets no answer in time ends the stream.
 */
export class JsonStream {
  private readonly request: http.ClientRequest;
  private readonly reader: LineReader;
  private pending: PendingExchange | undefined;
  private ended = false;

  constructor(options: JsonStreamOptions) {
    this.reader = new LineReader(options.maxAnswerBytes);
    this.request = openRequest({
      url: options.url,
      method: 'POST',
      headers: {'content-type': 'application/x-ndjson'},
      agent: options.agent,
    });
    this.request.on('error', error => this.fail(error.message));
    this.request.on('close', () => this.end());
    this.request.on('response', response => this.read(response));
  }

  /** Whether the stream has ended and cannot send further messages. */
  get isEnded(): boolean {
    return this.ended;
  }

  /**
   * Sends a message and resolves to the answer. Only one message may be pending. Throws the
   * `Fault` that the other process answers with, or `UNAVAILABLE` if the stream has ended or
   * ends first, a message is pending, or no answer arrives within `timeoutMs`.
   */
  async exchange(message: unknown, timeoutMs: number): Promise<unknown> {
    if (this.ended || this.pending !== undefined) {
      throw new Fault(
        'UNAVAILABLE',
        'the stream has ended or a message is already pending',
      );
    }
    const timer = setTimeout(
      () => this.fail('the message got no answer in time'),
      timeoutMs,
    );
    try {
      return await new Promise((resolve, reject) => {
        this.pending = {resolve, reject};
        this.request.write(`${JSON.stringify(message)}\n`);
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /** Ends the stream. A pending message fails. */
  end(): void {
    this.fail('the stream ended');
  }

  private fail(reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.takePending()?.reject(new Fault('UNAVAILABLE', reason));
      this.request.destroy();
    }
  }

  private read(response: http.IncomingMessage): void {
    response.on('error', error => this.fail(error.message));
    response.on('close', () => this.end());
    if (response.statusCode !== STATUS_OK) {
      this.fail(`the server answered with HTTP status ${response.statusCode}`);
      return;
    }
    response.on('data', (chunk: Buffer) => this.readLines(chunk));
  }

  private readLines(chunk: Buffer): void {
    try {
      for (const line of this.reader.push(chunk)) {
        this.settle(JSON.parse(line) as JsonStreamAnswer);
      }
    } catch (thrown) {
      this.fail(String(thrown));
    }
  }

  private settle(line: JsonStreamAnswer): void {
    const pending = this.takePending();
    if ('fault' in line) {
      pending?.reject(new Fault(line.fault, line.message));
    } else {
      pending?.resolve(line.answer);
    }
  }

  private takePending(): PendingExchange | undefined {
    const {pending} = this;
    this.pending = undefined;
    return pending;
  }
}
