import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {
  FramingCompletenessCheck,
  relayResponse,
  type RelayOutcome,
} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {Attempt, AttemptSender} from './attempt-sender.js';
import {hasTimeLeft, type Call} from './call.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {RetryLimiter} from './retry-limiter.js';
import {CallStreamResumer} from './call-stream-resumer.js';
import type {TargetFinder} from './target-finder.js';
import type {TargetResponse} from './target-client.js';

/** What a call runner works with. */
export interface CallRunnerOptions {
  readonly finder: TargetFinder;
  readonly sender: AttemptSender;
  readonly retryLimiter: RetryLimiter;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
}

/** How a call ended: answered, or with a refusal that is left to be sent. */
export type CallResult = Result<undefined, Refusal>;

/** What did not run may be offered to this many targets beyond the route's attempts. */
const EXTRA_OFFERS = 2;
const MAX_COLLECTED_BYTES = 1_048_576;
const RETRY_SOON_SECONDS = 0.5;
const STATUS_OK = 200;
const STATUS_SERVER_ERROR = 500;
const END_EVENTS = {
  whole: 'call-answered',
  torn: 'call-torn',
  cancelled: 'call-cancelled',
  lost: 'call-attempt-failed',
} as const;

/** Runs calls at one target after another until one answers. */
export class CallRunner {
  constructor(private readonly options: CallRunnerOptions) {}

  /** Serves a call; a refusal is left to be sent. */
  async run(call: Call, response: ServerResponse): Promise<CallResult> {
    const {finder, retryLimiter: turns} = this.options;
    turns.recordCall(call.service.name, performance.now());
    const excluded = new Set<string>();
    let refusal: Refusal | undefined;
    let mayHaveRun = false;
    for (let number = 1; ; number += 1) {
      if (!hasTimeLeft(call, performance.now())) {
        return Result.err(final(refusal ?? outOfTime(), mayHaveRun));
      }
      const target = await finder.find(call, excluded, call.startedAt);
      if (target.isErr) {
        return Result.err(final(refusal ?? target.error, mayHaveRun));
      }
      const ended = await this.attempt(call, target.value, number, response);
      if (ended.isOk) {
        return ended;
      }
      refusal = ended.error;
      mayHaveRun ||= refusal.outcome !== 'not-run';
      excluded.add(target.value.id);
      const mayGoOn =
        !response.headersSent && mayTryAgain(call, refusal, number, mayHaveRun);
      if (!mayGoOn || !(await turns.acquire(call.service.name, call.signal))) {
        return Result.err(final(refusal, mayHaveRun));
      }
    }
  }

  private async attempt(
    call: Call,
    target: TargetAnnouncement,
    number: number,
    response: ServerResponse,
  ): Promise<CallResult> {
    const {sender} = this.options;
    const attempt = sender.startAttempt(call, target, number);
    try {
      const sent = await sender.send(call, attempt);
      return sent.isErr
        ? Result.err(sender.handleFailure(call, attempt, sent.error))
        : await this.answer(call, attempt, sent.value, response);
    } finally {
      attempt.tracker.end(performance.now());
    }
  }

  /** Relays an answer, or gives the refusal where it is not to go to the caller. */
  private async answer(
    call: Call,
    attempt: Attempt,
    answer: TargetResponse,
    response: ServerResponse,
  ): Promise<CallResult> {
    const {metrics, sender} = this.options;
    const {head, message} = answer;
    const {idempotent, maxAttempts} = call.route;
    const status = message.statusCode ?? 0;
    const failed = status >= STATUS_SERVER_ERROR && !head.notRun;
    attempt.tracker.recordResponse(head, failed, performance.now());
    const isRepeated = failed && idempotent && attempt.number < maxAttempts;
    if (head.notRun || isRepeated) {
      return Result.err(sender.handleRejection(call, attempt, answer));
    }
    metrics.recordAttempt(call.service.name, failed ? 'failed' : 'answered');
    const end = await this.relay(call, attempt, answer, response);
    return end === 'lost' ? Result.err(tornAnswer()) : Result.ok(undefined);
  }

  private async relay(
    call: Call,
    attempt: Attempt,
    answer: TargetResponse,
    response: ServerResponse,
  ): Promise<RelayOutcome> {
    const {events, metrics} = this.options;
    const {head, route, service, startedAt} = call;
    const isStream = route.streaming && answer.message.statusCode === STATUS_OK;
    answer.message.once('data', () => {
      attempt.tracker.recordFirstEvent();
      metrics.recordFirstByte(service.name, performance.now() - startedAt);
    });
    const resume =
      isStream && route.idempotent
        ? new CallStreamResumer(this.options, call, attempt)
        : undefined;
    const {end, status} = await relayResponse(answer, response, {
      headers: {},
      maxBufferedBytes: isStream ? 0 : MAX_COLLECTED_BYTES,
      endsWithDone: false,
      createCompletenessCheck: relayed => new FramingCompletenessCheck(relayed),
      maxStoredBytes: 0,
      outlivesCaller: false,
      signal: call.signal,
      resumer: resume,
    });
    resume?.end();
    const tookMs = Math.round(performance.now() - startedAt);
    const details = {attempt: attempt.number, target: attempt.target.id};
    events.record(END_EVENTS[end], {...details, status, tookMs}, head.id);
    metrics.recordResponse(service.name, end);
    return end;
  }
}

/** Whether a call that a target did not serve may be sent to another one. */
function mayTryAgain(
  call: Call,
  refusal: Refusal,
  attempts: number,
  mayHaveRun: boolean,
): boolean {
  const {idempotent, maxAttempts} = call.route;
  const limit = maxAttempts + (mayHaveRun ? 0 : EXTRA_OFFERS);
  return attempts < limit && (refusal.outcome === 'not-run' || idempotent);
}

/** After a target that may have run the call, no refusal says that it did not. */
function final(refusal: Refusal, mayHaveRun: boolean): Refusal {
  if (!mayHaveRun || refusal.outcome !== 'not-run') {
    return refusal;
  }
  return new Refusal('unknown', 502, refusal.reason, refusal.message);
}

function outOfTime(): Refusal {
  const message = 'no target could be found in time';
  return new Refusal(
    'not-run',
    503,
    'out_of_time',
    message,
    RETRY_SOON_SECONDS,
  );
}

function tornAnswer(): Refusal {
  return new Refusal('unknown', 502, 'torn_answer', 'the answer broke off');
}
