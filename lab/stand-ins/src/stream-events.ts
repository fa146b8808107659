import type {ServerResponse} from 'node:http';
import {streamEvent, type AnswerIdentity} from './completion-text.js';
import type {ResumeFault} from './engine-faults.js';

/** Header that tells how long a stream can be resumed, in milliseconds. */
const RESUME_HEADER = 'x-engine-resume-ms';

/** The events of one streamed answer, kept for readers that come back. */
export class StreamEvents {
  private readonly events: string[] = [];
  private reader: ServerResponse | undefined;
  private lostAt: number | undefined;

  constructor(
    private readonly identity: AnswerIdentity,
    private readonly resumeMs: number,
  ) {}

  /** Whether there was no reader for the whole time in which one may come back. */
  isAbandoned(now: number): boolean {
    if (this.reader !== undefined && !this.reader.destroyed) {
      return false;
    }
    this.lostAt ??= now;
    return now - this.lostAt >= this.resumeMs;
  }

  /** Begins to send to a reader. */
  open(response: ServerResponse): void {
    this.reader = response;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      [RESUME_HEADER]: String(this.resumeMs),
    });
  }

  /** Keeps an event under its number; gives the text that is to be sent. */
  add(event: string): string {
    const text = `id: ${this.events.length}\n${event}`;
    this.events.push(text);
    return text;
  }

  /** Goes on with another reader after event `after`; gives what was missed. */
  resume(response: ServerResponse, after: number, fault: ResumeFault): string {
    this.reader?.destroy();
    this.lostAt = undefined;
    const {id} = this.identity;
    const named = fault === 'crossed' ? `other-${id}` : id;
    response.setHeader('x-request-id', named);
    this.open(response);
    response.flushHeaders();
    const first = firstEvent(after, fault);
    return this.events
      .slice(first)
      .map((event, index) =>
        fault === 'version' ? this.ofOtherVersion(first + index) : event,
      )
      .join('');
  }

  /** Takes note that the reader gets nothing more. */
  leave(): void {
    this.reader = undefined;
  }

  /** The response that events go to; undefined without a reader. */
  get to(): ServerResponse | undefined {
    return this.reader?.destroyed === false ? this.reader : undefined;
  }

  private ofOtherVersion(index: number): string {
    const identity = {...this.identity, model: 'other@v1'};
    return `id: ${index}\n${streamEvent(identity, ` w${index}`)}`;
  }
}

function firstEvent(after: number, fault: ResumeFault): number {
  if (fault === 'doubled') {
    return 0;
  }
  return fault === 'skipped' ? after + 2 : after + 1;
}
