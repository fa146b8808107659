import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import type {StreamOrigin, TargetAnnouncement} from '@marigoldspur/deployment';
import {
  FramingCheck,
  relayResponse,
  type RelayBreak,
  type RelayResult,
} from '@marigoldspur/dispatch';
import type {
  CallDurations,
  DrainAdmission,
} from '@marigoldspur/drain-admission';
import {
  findChargeRefusal,
  isExpiredCharge,
  isTenantChange,
  type TenantCharge,
  type TenantQuotas,
} from '@marigoldspur/entry-quotas';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {AttemptSender} from './attempt-sender.js';
import type {Attempt} from './attempt.js';
import {findDenial, findTenant, hasTimeLeft, type Call} from './call.js';
import {createShuttingDownRefusal} from './shutting-down-refusal.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import type {RetryLimiter} from './retry-limiter.js';
import {CallStreamResumer} from './call-stream-resumer.js';
import type {StreamOrigins} from './stream-origins.js';
import type {TargetFinder} from './target-finder.js';
import type {TargetResponse} from './target-client.js';
import {TriedTargets} from './tried-targets.js';

/** Options of a call runner. */
export interface CallRunnerOptions {
  readonly finder: TargetFinder;
  readonly sender: AttemptSender;
  readonly retryLimiter: RetryLimiter;
  /** Decides which calls may still be sent while this entry shuts down. */
  readonly drainAdmission: Pick<DrainAdmission, 'maySend'>;
  readonly durations: Pick<CallDurations, 'record'>;
  readonly streamOrigins: Pick<StreamOrigins, 'originAt' | 'resolve'>;
  readonly quotas: Pick<TenantQuotas, 'open'>;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** What is known of the search for the target of an attempt. */
interface AttemptSearch extends TenantCharge {
  /** Origin of the stream that the call takes up; undefined if it begins one. */
  readonly origin: StreamOrigin | undefined;
  readonly tried: TriedTargets;
}

/** The search for the target of an attempt that was sent. */
interface SentSearch extends AttemptSearch {
  /** When the attempt was sent, as a `performance.now()` time. */
  readonly sentAt: number;
}

/** Result of a call: answered, or a refusal that remains to be sent. */
export type CallResult = Result<undefined, Refusal>;

/**
 * Additional targets that are tried beyond the route's attempts while no
 * target has run the call.
 */
const EXTRA_ATTEMPTS = 2;
/** Time for which a target that was found is kept while units are granted, in milliseconds. */
const KEEP_TARGET_MS = 50;
const MAX_BUFFERED_BYTES = 1_048_576;
const RETRY_AFTER_SECONDS = 0.5;
/**
 * Multiple of a route's latency objective that a call is assumed to take before one of the
 * route has ended.
 */
const ASSUMED_DURATION_FACTOR = 2;
const STATUS_OK = 200;
const STATUS_SERVER_ERROR = 500;
const OUTCOME_EVENTS = {
  whole: 'call-answered',
  torn: 'call-torn',
  cancelled: 'call-cancelled',
  lost: 'call-attempt-failed',
} as const;

/** What callers are told of a response that broke off before it had started. */
const BREAK_REFUSALS = {
  target: {reason: 'torn_answer', message: 'the response broke off'},
  aborted: {reason: 'torn_answer', message: 'the response came too late'},
  fault: {reason: 'torn_answer', message: 'the response could not be sent on'},
  memory: {
    reason: 'response_memory_full',
    message: 'the entry lacks the memory for the response',
  },
  size: {
    reason: 'response_too_large',
    message:
      'the response has neither a length nor chunks and exceeds what the entry holds back',
  },
} as const satisfies Record<RelayBreak, {reason: string; message: string}>;
/** Reasons that lie with this entry, so that another target would not help. */
const OWN_BREAK_REASONS: ReadonlySet<string> = new Set([
  BREAK_REFUSALS.memory.reason,
  BREAK_REFUSALS.size.reason,
]);

/** Tries targets one after another until one responds to the call. */
export class CallRunner {
  constructor(private readonly options: CallRunnerOptions) {}

  /** Serves a call, charged to its tenant's quota. A refusal is returned, not sent. */
  async run(call: Call, response: ServerResponse): Promise<CallResult> {
    const {statedTokens} = call.metadata;
    const tenant = findTenant(call);
    const charge = this.options.quotas.open(tenant, statedTokens);
    const chargedTenant = tenant?.name;
    try {
      return await this.runCharged(call, response, {charge, chargedTenant});
    } finally {
      charge.release();
    }
  }

  private async runCharged(
    call: Call,
    response: ServerResponse,
    tenantCharge: TenantCharge,
  ): Promise<CallResult> {
    const {retryLimiter, streamOrigins} = this.options;
    retryLimiter.recordCall(call.service.name, performance.now());
    const resolved = await streamOrigins.resolve(call, () => performance.now());
    if (resolved.isErr) {
      return Result.err(resolved.error);
    }
    const origin = resolved.value;
    const tried = new TriedTargets();
    let refusal: Refusal | undefined;
    let mayHaveRun = false;
    for (let attemptNumber = 1; ; attemptNumber += 1) {
      if (!hasTimeLeft(call, performance.now())) {
        return Result.err(
          toFinalRefusal(refusal ?? createOutOfTimeRefusal(), mayHaveRun),
        );
      }
      const search = {origin, tried, ...tenantCharge};
      const target = await this.findChargedTarget(call, search);
      const denial = findDenial(call);
      if (denial !== undefined) {
        return Result.err(toFinalRefusal(denial, mayHaveRun));
      }
      if (target.isErr) {
        const latest = laterRefusal(refusal, target.error);
        return Result.err(toFinalRefusal(latest, mayHaveRun));
      }
      const result = await this.attempt(
        call,
        target.value,
        attemptNumber,
        response,
        search,
      );
      if (result.isOk) {
        return result;
      }
      refusal = result.error;
      mayHaveRun ||= refusal.outcome !== 'not-run';
      if (!isExpiredCharge(refusal)) {
        tried.add(target.value.id, refusal);
      }
      const mayRetry =
        !response.headersSent &&
        !isTenantChange(refusal) &&
        canRetry(call, refusal, attemptNumber, mayHaveRun);
      // A call whose units expired was not sent, so the next attempt is no retry.
      const isRetry = !isExpiredCharge(refusal);
      if (
        !mayRetry ||
        findDenial(call) !== undefined ||
        (isRetry &&
          !(await retryLimiter.acquire(call.service.name, call.signal)))
      ) {
        return Result.err(toFinalRefusal(refusal, mayHaveRun));
      }
    }
  }

  /**
   * Finds a target for a call that holds units of its tenant's quota. Units expire while the
   * search waits. What was found is kept, with its permit if it has a request limit, if new ones
   * come at once.
   */
  private async findChargedTarget(
    call: Call,
    search: AttemptSearch,
  ): Promise<Result<TargetAnnouncement, Refusal>> {
    const {finder} = this.options;
    const {charge, origin, tried} = search;
    for (;;) {
      const refusal = await charge.secure();
      if (refusal !== undefined) {
        return Result.err(refusal);
      }
      const target = await this.findTarget(call, search);
      if (target.isErr || !charge.isDue) {
        return target;
      }
      const foundAt = performance.now();
      const refusedSince = await charge.secure();
      if (refusedSince !== undefined) {
        return Result.err(refusedSince);
      }
      const now = performance.now();
      if (
        now - foundAt < KEEP_TARGET_MS &&
        !charge.isDue &&
        this.mayBeSent(call, now) &&
        finder.isAvailable(call, target.value, tried.unusableIds, origin)
      ) {
        return target;
      }
    }
  }

  /** Finds a target, unless the call would outlast a shutdown of this entry, also after the search. */
  private async findTarget(
    call: Call,
    {origin, tried}: AttemptSearch,
  ): Promise<Result<TargetAnnouncement, Refusal>> {
    const {finder} = this.options;
    if (!this.mayBeSent(call, performance.now())) {
      return Result.err(createShuttingDownRefusal());
    }
    const target = await tried.find(excluded =>
      finder.find(call, excluded, call.startedAt, origin),
    );
    return target.isOk && !this.mayBeSent(call, performance.now())
      ? Result.err(createShuttingDownRefusal())
      : target;
  }

  /** Whether a call that is sent now is expected to end before a shutdown of this entry does. */
  private mayBeSent({route}: Call, now: number): boolean {
    const outlook = {
      route: route.name,
      isRepeatable: route.idempotent,
      assumedMs: route.latencyObjectiveMs * ASSUMED_DURATION_FACTOR,
    };
    return this.options.drainAdmission.maySend(outlook, now);
  }

  private async attempt(
    call: Call,
    target: TargetAnnouncement,
    attemptNumber: number,
    response: ServerResponse,
    search: AttemptSearch,
  ): Promise<CallResult> {
    const {sender} = this.options;
    const attempt = sender.startAttempt(call, target, attemptNumber);
    const sentAt = performance.now();
    search.charge.spend();
    try {
      const sent = await sender.send(call, attempt, {
        findChargeRefusal: () =>
          findChargeRefusal(search, findTenant(call)?.name),
      });
      const result = sent.isErr
        ? Result.err(sender.handleFailure(call, attempt, sent.error))
        : await this.handleResponse(call, attempt, sent.value, response, {
            ...search,
            sentAt,
          });
      if (result.isErr && result.error.outcome === 'not-run') {
        search.charge.unspend();
      }
      return result;
    } finally {
      attempt.tracker.end(performance.now());
    }
  }

  /**
   * Relays a response, or returns the refusal if the response must not go to
   * the caller.
   */
  private async handleResponse(
    call: Call,
    attempt: Attempt,
    upstream: TargetResponse,
    response: ServerResponse,
    search: SentSearch,
  ): Promise<CallResult> {
    const {durations, metrics, sender} = this.options;
    const {metadata, message} = upstream;
    const {idempotent, maxAttempts} = call.route;
    const status = message.statusCode ?? 0;
    const hasFailed = status >= STATUS_SERVER_ERROR && !metadata.hasNotRun;
    attempt.tracker.recordResponse(metadata, hasFailed, performance.now());
    const isRetried = hasFailed && idempotent && attempt.number < maxAttempts;
    if (metadata.hasNotRun || isRetried) {
      return Result.err(sender.handleRejection(call, attempt, upstream));
    }
    metrics.recordAttempt(call.service.name, hasFailed ? 'failed' : 'answered');
    const {brokenBy, outcome} = await this.relay(
      call,
      attempt,
      upstream,
      response,
      search,
    );
    if (outcome === 'whole') {
      durations.record(call.route.name, performance.now() - search.sentAt);
    }
    return outcome === 'lost'
      ? Result.err(createBrokenResponseRefusal(brokenBy))
      : Result.ok(undefined);
  }

  private async relay(
    call: Call,
    attempt: Attempt,
    upstream: TargetResponse,
    response: ServerResponse,
    search: AttemptSearch,
  ): Promise<RelayResult> {
    const {events, metrics} = this.options;
    const {origin, tried} = search;
    const {metadata, route, service, startedAt} = call;
    const isStream =
      route.streaming && upstream.message.statusCode === STATUS_OK;
    upstream.message.once('data', () => {
      attempt.tracker.recordFirstEvent();
      metrics.recordFirstByte(service.name, performance.now() - startedAt);
    });
    const resumer =
      isStream && route.idempotent
        ? new CallStreamResumer(
            this.options,
            call,
            attempt,
            tried,
            upstream.isAnnouncedStart,
            origin,
            search,
          )
        : undefined;
    const relayed = await relayResponse(upstream, response, {
      headers: {},
      maxBufferedBytes: isStream ? 0 : MAX_BUFFERED_BYTES,
      endsWithDone: false,
      createCheck: relayed => new FramingCheck(relayed),
      maxStoredBytes: 0,
      outlivesCaller: false,
      signal: call.signal,
      resumer,
      resumeAfter: metadata.resumeAfter,
      reservation: call.responseMemory,
      onInvalidStream: after =>
        events.record('stream-invalid', {after}, metadata.id),
      onFault: ({message}) =>
        events.record('request-error', {message}, metadata.id),
    });
    resumer?.end();
    this.recordRelay(call, attempt, relayed);
    return relayed;
  }

  private recordRelay(
    {metadata, service, startedAt}: Call,
    {number, sentAfterMs, target}: Attempt,
    relayed: RelayResult,
  ): void {
    const {events, metrics} = this.options;
    const {callerFraming, end, outcome, status, targetFraming} = relayed;
    const {brokenBy, receivedBytes, receivedPieces, sentBytes} = relayed;
    events.record(
      OUTCOME_EVENTS[outcome],
      {
        attempt: number,
        target: target.id,
        version: target.softwareVersion ?? 'unknown',
        sentAfterMs,
        status,
        tookMs: Math.round(performance.now() - startedAt),
        targetFraming,
        callerFraming: callerFraming ?? 'unsent',
        receivedBytes,
        receivedPieces,
        sentBytes,
        end,
        ...(brokenBy !== undefined && {brokenBy}),
      },
      metadata.id,
    );
    metrics.recordResponse(service.name, outcome);
    metrics.recordRelay(service.name, relayed);
  }
}

/** Of the refusal of the last attempt and that of the next one, the one with the later time to come back. */
function laterRefusal(last: Refusal | undefined, next: Refusal): Refusal {
  const isLater =
    last === undefined ||
    (next.retryAfterSeconds ?? 0) > (last.retryAfterSeconds ?? 0);
  return isLater ? next : last;
}

/** Whether a call that a target did not serve may be sent to another one. */
function canRetry(
  call: Call,
  refusal: Refusal,
  attempts: number,
  mayHaveRun: boolean,
): boolean {
  const {idempotent, maxAttempts} = call.route;
  if (OWN_BREAK_REASONS.has(refusal.reason)) {
    return false;
  }
  const limit = maxAttempts + (mayHaveRun ? 0 : EXTRA_ATTEMPTS);
  return attempts < limit && (refusal.outcome === 'not-run' || idempotent);
}

/**
 * Changes the outcome of a refusal from `not-run` to `unknown` if an earlier
 * target may have run the call.
 */
function toFinalRefusal(refusal: Refusal, mayHaveRun: boolean): Refusal {
  if (!mayHaveRun || refusal.outcome !== 'not-run') {
    return refusal;
  }
  return new Refusal('unknown', 502, refusal.reason, refusal.message);
}

function createOutOfTimeRefusal(): Refusal {
  const message = 'no target was found before the deadline';
  return new Refusal(
    'not-run',
    503,
    'out_of_time',
    message,
    RETRY_AFTER_SECONDS,
  );
}

/** The refusal of a call whose response broke off before it had started. */
function createBrokenResponseRefusal(brokenBy: RelayBreak = 'target'): Refusal {
  const {message, reason} = BREAK_REFUSALS[brokenBy];
  return new Refusal('unknown', 502, reason, message);
}
