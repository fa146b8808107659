import type {ServerResponse} from 'node:http';
import {formatStreamEvent, type ResponseIdentity} from './completion-text.js';
import type {ResumeFault} from './engine-faults.js';

/** Header with the time in which a broken stream can be resumed, in milliseconds. */
const RESUME_HEADER = 'x-engine-resume-ms';

/** Streamed response whose events are kept, so that a reader can reconnect and resume. */
export class ResumableStream {
  private readonly events: string[] = [];
  private reader: ServerResponse | undefined;
  private readerLostAt: number | undefined;

  constructor(
    private readonly identity: ResponseIdentity,
    private readonly resumeMs: number,
  ) {}

  /**
   * Whether the stream has had no reader for the whole resume window; `now` is a
   * `performance.now()` time.
   */
  isAbandoned(now: number): boolean {
    if (this.reader !== undefined && !this.reader.destroyed) {
      return false;
    }
    this.readerLostAt ??= now;
    return now - this.readerLostAt >= this.resumeMs;
  }

  /** Starts to send to a reader. */
  attachReader(response: ServerResponse): void {
    this.reader = response;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      [RESUME_HEADER]: String(this.resumeMs),
    });
  }

  /** Stores an event under the next number; returns the text to send. */
  append(event: string): string {
    const text = `id: ${this.events.length}\n${event}`;
    this.events.push(text);
    return text;
  }

  /**
   * Continues with a new reader after the event with the number `after`; returns the text
   * of the events that it missed.
   */
  resume(response: ServerResponse, after: number, fault: ResumeFault): string {
    this.reader?.destroy();
    this.readerLostAt = undefined;
    const {id} = this.identity;
    const sentId = fault === 'crossed' ? `other-${id}` : id;
    response.setHeader('x-request-id', sentId);
    this.attachReader(response);
    response.flushHeaders();
    const firstIndex = findFirstEventIndex(after, fault);
    return this.events
      .slice(firstIndex)
      .map((event, index) =>
        fault === 'version'
          ? this.formatOtherVersionEvent(firstIndex + index)
          : event,
      )
      .join('');
  }

  /** Stops sending to the reader. */
  detachReader(): void {
    this.reader = undefined;
  }

  /** The response that receives the events; undefined without a connected reader. */
  get activeReader(): ServerResponse | undefined {
    return this.reader?.destroyed === false ? this.reader : undefined;
  }

  private formatOtherVersionEvent(index: number): string {
    const identity = {...this.identity, model: 'other@v1'};
    return `id: ${index}\n${formatStreamEvent(identity, ` w${index}`)}`;
  }
}

function findFirstEventIndex(after: number, fault: ResumeFault): number {
  if (fault === 'doubled') {
    return 0;
  }
  return fault === 'skipped' ? after + 2 : after + 1;
}
