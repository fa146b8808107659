import type http from 'node:http';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {LineReader} from './line-reader.js';
import {openRequest} from './open-request.js';

/** Options of a stream of JSON messages to another process. */
export interface JsonStreamOptions {
  readonly url: URL;
  readonly agent: http.Agent;
  /** Longest answer, in bytes. */
  readonly maxAnswerBytes: number;
}

/** One line of an answering stream. */
export type JsonStreamAnswer =
  | {readonly answer: unknown}
  | {readonly fault: FaultCode; readonly message: string};

interface Pending {
  readonly resolve: (answer: unknown) => void;
  readonly reject: (fault: Fault) => void;
}

const HTTP_OK = 200;

/**
 * JSON messages to one process, one after the other, over one long-lived request: its
 * body carries a message a line, the body of the response an answer a line. A message
 * that gets no answer in time ends the stream.
 */
export class JsonStream {
  private readonly request: http.ClientRequest;
  private readonly reader: LineReader;
  private pending: Pending | undefined;
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

  /** Whether the stream can carry no further message. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Sends a message, after the one before was answered; throws the `Fault` of the other side, or `UNAVAILABLE`. */
  async exchange(message: unknown, timeoutMs: number): Promise<unknown> {
    if (this.ended || this.pending !== undefined) {
      throw new Fault('UNAVAILABLE', 'the stream can carry no message now');
    }
    const timer = setTimeout(() => this.fail('no answer in time'), timeoutMs);
    try {
      return await new Promise((resolve, reject) => {
        this.pending = {resolve, reject};
        this.request.write(`${JSON.stringify(message)}\n`);
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /** Ends the stream; a message that is on its way counts as lost. */
  end(): void {
    this.fail('the stream ended');
  }

  private fail(reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.take()?.reject(new Fault('UNAVAILABLE', reason));
      this.request.destroy();
    }
  }

  private read(response: http.IncomingMessage): void {
    response.on('error', error => this.fail(error.message));
    response.on('close', () => this.end());
    if (response.statusCode !== HTTP_OK) {
      this.fail(`HTTP status ${response.statusCode}`);
      return;
    }
    response.on('data', (piece: Buffer) => this.readLines(piece));
  }

  private readLines(piece: Buffer): void {
    try {
      for (const line of this.reader.push(piece)) {
        this.settle(JSON.parse(line) as JsonStreamAnswer);
      }
    } catch (thrown) {
      this.fail(String(thrown));
    }
  }

  private settle(line: JsonStreamAnswer): void {
    const pending = this.take();
    if ('fault' in line) {
      pending?.reject(new Fault(line.fault, line.message));
    } else {
      pending?.resolve(line.answer);
    }
  }

  private take(): Pending | undefined {
    const {pending} = this;
    this.pending = undefined;
    return pending;
  }
}
