import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {
  responseHeaders,
  relayResponse,
  resumeWindowMs,
  type StreamResumer,
  type AttemptResponse,
  type RelayResult,
} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {StoredAnswer} from '@marigoldspur/messages';
import type {EntryMetrics} from './entry-metrics.js';
import {isRepeatable, type Job} from './job.js';

/** What an answer sender works with. */
export interface ResponseSenderOptions {
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
}

const MAX_STORED_ANSWER_BYTES = 65_536;
const MAX_STORED_HEADERS = 100;
const MAX_COLLECTED_BYTES = 1_048_576;
const RETRY_SOON_SECONDS = 1;
const EVENTS = {
  whole: 'request-answered',
  torn: 'request-torn',
  cancelled: 'request-cancelled',
} as const;
/** Headers that a resend gets anew. */
const FRESH_HEADERS = new Set(['content-type', 'date']);

/** Sends targets' answers to callers. */
export class ResponseSender {
  constructor(private readonly options: ResponseSenderOptions) {}

  /** Relays an answer; resolves to what is kept of it for a resend. */
  async send(
    job: Job,
    answer: AttemptResponse,
    response: ServerResponse,
    link?: StreamResumer,
  ): Promise<Result<StoredAnswer | undefined, Refusal>> {
    const {metrics} = this.options;
    const contentType = answer.message.headers['content-type'] ?? '';
    const streamed = contentType.startsWith('text/event-stream');
    const waited = performance.now() - job.startedAt;
    metrics.recordFirstByte(job.request.service, waited / 1_000);
    const endsWithDone =
      streamed &&
      job.request.kind === 'model' &&
      answer.message.statusCode === 200;
    const relayed = await relayResponse(answer, response, {
      headers: {'x-request-id': job.id},
      maxBufferedBytes: streamed ? 0 : MAX_COLLECTED_BYTES,
      endsWithDone,
      maxStoredBytes: job.key === undefined ? 0 : MAX_STORED_ANSWER_BYTES,
      outlivesCaller: !isRepeatable(job),
      signal: job.signal,
      resumer:
        endsWithDone && resumeWindowMs(answer.message) > 0 ? link : undefined,
    });
    return this.conclude(job, answer, relayed);
  }

  private conclude(
    job: Job,
    answer: AttemptResponse,
    relayed: RelayResult,
  ): Result<StoredAnswer | undefined, Refusal> {
    const {events, metrics} = this.options;
    const {end, status} = relayed;
    if (end === 'lost') {
      return Result.err(tornAnswer());
    }
    events.record(EVENTS[end], {status}, job.id);
    metrics.recordOutcome(job.request.service, end);
    if (end !== 'whole') {
      return Result.err(tornAnswer());
    }
    return Result.ok(
      relayed.body === undefined || job.key === undefined
        ? undefined
        : storedAnswer(answer, status, relayed.body),
    );
  }
}

function tornAnswer(): Refusal {
  return new Refusal(
    'unknown',
    502,
    'torn_answer',
    'the answer broke off',
    RETRY_SOON_SECONDS,
  );
}

function storedAnswer(
  answer: AttemptResponse,
  status: number,
  body: Buffer,
): StoredAnswer {
  const headers = Object.entries(responseHeaders(answer.message))
    .filter(([name]) => !FRESH_HEADERS.has(name))
    .flatMap(([name, value]) =>
      [value ?? []].flat().map(text => ({name, value: String(text)})),
    );
  return {
    status,
    contentType: answer.message.headers['content-type'] ?? '',
    headers: headers.slice(0, MAX_STORED_HEADERS),
    body: body.toString('base64'),
  };
}
