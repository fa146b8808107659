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

/** Options of a response sender. */
export interface ResponseSenderOptions {
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
}

const MAX_STORED_ANSWER_BYTES = 65_536;
const MAX_STORED_HEADERS = 100;
const MAX_BUFFERED_BYTES = 1_048_576;
const RETRY_AFTER_SECONDS = 1;
const OUTCOME_EVENTS = {
  whole: 'request-answered',
  torn: 'request-torn',
  cancelled: 'request-cancelled',
} as const;
/** Headers that are set separately when a stored response is replayed. */
const REGENERATED_HEADERS = new Set(['content-type', 'date']);

/** Sends targets' responses to callers. */
export class ResponseSender {
  constructor(private readonly options: ResponseSenderOptions) {}

  /**
   * Relays a response; resolves to the stored response for a replay, if any.
   */
  async send(
    job: Job,
    upstream: AttemptResponse,
    response: ServerResponse,
    resumer?: StreamResumer,
  ): Promise<Result<StoredAnswer | undefined, Refusal>> {
    const {events, metrics} = this.options;
    const contentType = upstream.message.headers['content-type'] ?? '';
    const isStream = contentType.startsWith('text/event-stream');
    const elapsedMs = performance.now() - job.startedAt;
    metrics.recordFirstByte(job.request.service, elapsedMs / 1_000);
    const endsWithDone =
      isStream &&
      job.request.kind === 'model' &&
      upstream.message.statusCode === 200;
    const relayed = await relayResponse(upstream, response, {
      headers: {'x-request-id': job.id},
      maxBufferedBytes: isStream ? 0 : MAX_BUFFERED_BYTES,
      endsWithDone,
      maxStoredBytes: job.key === undefined ? 0 : MAX_STORED_ANSWER_BYTES,
      outlivesCaller: !isRepeatable(job),
      signal: job.signal,
      onFault: ({message}) => events.record('request-error', {message}, job.id),
      resumer:
        endsWithDone && resumeWindowMs(upstream.message) > 0
          ? resumer
          : undefined,
    });
    return this.recordResult(job, upstream, relayed);
  }

  private recordResult(
    job: Job,
    upstream: AttemptResponse,
    relayed: RelayResult,
  ): Result<StoredAnswer | undefined, Refusal> {
    const {events, metrics} = this.options;
    const {outcome, status} = relayed;
    if (outcome === 'lost') {
      return Result.err(createTornResponseRefusal());
    }
    events.record(OUTCOME_EVENTS[outcome], {status}, job.id);
    metrics.recordOutcome(job.request.service, outcome);
    if (outcome !== 'whole') {
      return Result.err(createTornResponseRefusal());
    }
    return Result.ok(
      relayed.body === undefined || job.key === undefined
        ? undefined
        : toStoredAnswer(upstream, status, relayed.body),
    );
  }
}

function createTornResponseRefusal(): Refusal {
  return new Refusal(
    'unknown',
    502,
    'torn_answer',
    'the response broke off',
    RETRY_AFTER_SECONDS,
  );
}

function toStoredAnswer(
  upstream: AttemptResponse,
  status: number,
  body: Buffer,
): StoredAnswer {
  const headers = Object.entries(responseHeaders(upstream.message))
    .filter(([name]) => !REGENERATED_HEADERS.has(name))
    .flatMap(([name, value]) =>
      [value ?? []].flat().map(text => ({name, value: String(text)})),
    );
  return {
    status,
    contentType: upstream.message.headers['content-type'] ?? '',
    headers: headers.slice(0, MAX_STORED_HEADERS),
    body: body.toString('base64'),
  };
}
