import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {discardBody} from '@marigoldspur/http-link';
import type {AdapterAgentClient} from './adapter-agent-client.js';
import type {CrashMonitor} from './crash-monitor.js';
import type {CrashWitness} from './crash-witness.js';
import type {RequestCrashMonitor} from './request-crash-monitor.js';
import {
  findDenial,
  hasTimeLeft,
  priorityOf,
  remainingMs,
  MIN_REMAINING_MS,
  type Call,
} from './call.js';
import {ResponseProgress, type ResponseEnd} from './response-progress.js';
import type {WireFormat} from './wire-format.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import type {TargetCallTracker} from './target-calls.js';
import type {TargetSelector} from './target-selector.js';
import type {StreamOrigins} from './stream-origins.js';
import type {TargetFinder} from './target-finder.js';
import type {TargetLimits} from './target-limits.js';
import {
  createRefusalForFailure,
  isSuccess,
  type TargetResponse,
  type TargetClient,
  type TargetFailure,
} from './target-client.js';

/** One attempt to serve a call at one target. */
export interface Attempt {
  readonly number: number;
  readonly target: TargetAnnouncement;
  readonly tracker: TargetCallTracker;
  /** Time from the start of the call to this attempt, in milliseconds. */
  readonly sentAfterMs: number;
}

/** How one attempt is sent. */
export interface SendOptions {
  /** Returns why the call's charge does not cover it any more; undefined if it does. */
  readonly findChargeRefusal?: () => Refusal | undefined;
  /** The event after which the stream continues; the one that the caller states by default. */
  readonly resumeAfter?: number;
}

/** Options of an attempt sender. */
export interface AttemptSenderOptions {
  readonly finder: Pick<TargetFinder, 'versionFor'>;
  readonly selector: TargetSelector;
  readonly targetClient: TargetClient;
  readonly agentClient: Pick<AdapterAgentClient, 'startUse'>;
  readonly crashMonitor: Pick<
    CrashMonitor,
    'findBlock' | 'recordBreak' | 'recordCompletion'
  >;
  readonly requestCrashes: Pick<
    RequestCrashMonitor,
    'findBlock' | 'recordCompletion'
  >;
  readonly crashWitness: Pick<
    CrashWitness,
    'probe' | 'recordResponse' | 'recordSuccessor'
  >;
  /** Called with a target that says in an answer that it leaves. */
  readonly onLeaving: (target: TargetAnnouncement) => void;
  readonly streamOrigins: Pick<
    StreamOrigins,
    'confirmStart' | 'recordFirstEvent'
  >;
  readonly targetLimits: Pick<TargetLimits, 'recordResponse'>;
  readonly wireFormat: WireFormat;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** An attempt whose response has not ended. */
interface RunningAttempt {
  readonly call: Call;
  /** Aborts when the call ends, or if it gets blocked. */
  readonly cancellation: BoundedSignal;
  /** How far the response got; undefined before its head arrived. */
  progress?: ResponseProgress;
  /** Why the call was not sent although its caller waits; undefined if it was. */
  denial?: Refusal;
}

/**
 * Silence after which an idempotent call is sent to another target, as a
 * multiple of the route's latency objective.
 */
const SILENCE_LATENCY_FACTOR = 2;
const MIN_SILENCE_MS = 500;
const RETRY_AFTER_SECONDS = 0.5;
const LOWEST_PRIORITY = 9;
/** Maximum length of a header's value in a log line, in characters. */
const MAX_LOGGED_LENGTH = 64;
const STATUS_OK = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';

/** Sends calls to targets and records the results. */
export class AttemptSender {
  private readonly runningAttempts = new Set<RunningAttempt>();

  constructor(private readonly options: AttemptSenderOptions) {}

  /**
   * Counts a call at its target, and its use of an adapter there, until the
   * attempt ends.
   */
  startAttempt(
    call: Call,
    target: TargetAnnouncement,
    number: number,
  ): Attempt {
    const {agentClient, selector} = this.options;
    const {work} = call.metadata;
    const now = performance.now();
    const tracker = selector.startCall(target, work, now, call.route);
    const sentAfterMs = Math.round(now - call.startedAt);
    if (work?.adapter === undefined) {
      return {number, target, tracker, sentAfterMs};
    }
    const adapter = adapterName(work.model, work.adapter);
    const endUse = agentClient.startUse(target.address, adapter);
    const end = (now: number) => {
      tracker.end(now);
      endUse();
    };
    return {number, target, tracker: {...tracker, end}, sentAfterMs};
  }

  /** Sends a call. */
  async send(
    call: Call,
    attempt: Attempt,
    {
      findChargeRefusal,
      resumeAfter = call.metadata.resumeAfter,
    }: SendOptions = {},
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const running: RunningAttempt = {
      call,
      cancellation: new BoundedSignal({parentSignals: [call.signal]}),
    };
    this.runningAttempts.add(running);
    const sentAt = performance.now();
    const sent = await this.exchange(call, attempt, running, {
      findChargeRefusal,
      resumeAfter,
    });
    if (sent.isErr) {
      this.endAttempt(running);
      return Result.err({...sent.error, denial: running.denial});
    }
    sent.value.message.once('close', () => this.endAttempt(running));
    this.recordLimit(attempt, sent.value, sentAt);
    if (!isFromOtherTarget(attempt, sent.value)) {
      this.options.crashWitness.recordResponse(attempt.target);
      this.recordWishes(call, attempt, sent.value);
    }
    const response = this.identifyStart(call, attempt, sent.value);
    const isContinued = (resumeAfter ?? 0) > 0;
    const failure = isContinued
      ? (findTypeFailure(call, response) ?? (await findStartFailure(response)))
      : undefined;
    if (failure !== undefined) {
      this.endAttempt(running);
      return Result.err(failure);
    }
    return Result.ok(this.followProgress(call, attempt, running, response));
  }

  /** Has the start of the target confirmed that sends a stream which may continue elsewhere. */
  private identifyStart(
    call: Call,
    {target}: Attempt,
    response: TargetResponse,
  ): TargetResponse {
    const {message} = response;
    if (!call.route.idempotent || !isStream(call, message)) {
      return response;
    }
    const isAnnouncedStart = this.options.streamOrigins.confirmStart(
      target,
      message.socket,
    );
    return {...response, isAnnouncedStart};
  }

  /**
   * Cancels the attempts of calls that got blocked, so that engines which have
   * not begun to respond to them drop them. A response with an event goes on:
   * its engine did not crash on it, and its end may lift the block.
   */
  cancelBlocked(): void {
    for (const {call, cancellation, progress} of this.runningAttempts) {
      const hasBegun = progress?.hasEvent === true;
      if (!hasBegun && this.isBlocked(call)) {
        cancellation.abort();
      }
    }
  }

  private isBlocked(call: Call): boolean {
    const {crashMonitor, requestCrashes} = this.options;
    return (
      requestCrashes.findBlock(call) !== undefined ||
      crashMonitor.findBlock(call.metadata.work) !== undefined
    );
  }

  /**
   * Records the limit that the target states. That it states none counts only
   * if it served the call: rejections may come from another process.
   */
  private recordLimit(
    {target}: Attempt,
    {message, metadata}: TargetResponse,
    sentAt: number,
  ): void {
    const {isMisdirected, requestsPerSecond} = metadata;
    const saysLimit = requestsPerSecond !== undefined && !isMisdirected;
    if (saysLimit || isSuccess(message.statusCode)) {
      this.options.targetLimits.recordResponse(
        target,
        requestsPerSecond,
        sentAt,
        performance.now(),
      );
    }
  }

  /** Keeps to what a target says of itself: that it leaves, or wants a pause. */
  private recordWishes(
    call: Call,
    {number, target}: Attempt,
    {metadata: {invalidPause, isLeaving, pauseMs}}: TargetResponse,
  ): void {
    const {events, metrics, onLeaving, selector} = this.options;
    if (isLeaving) {
      onLeaving(target);
    }
    if (pauseMs !== undefined) {
      const details = {attempt: number, target: target.id, pauseMs};
      events.record('target-paused', details, call.metadata.id);
      metrics.recordPause(call.service.name);
      selector.recordPause(target, performance.now() + pauseMs);
    }
    if (invalidPause !== undefined) {
      const value = invalidPause.slice(0, MAX_LOGGED_LENGTH);
      const details = {attempt: number, target: target.id, value};
      events.record('target-pause-invalid', details, call.metadata.id);
    }
  }

  private endAttempt(running: RunningAttempt): void {
    running.cancellation.dispose();
    this.runningAttempts.delete(running);
  }

  private exchange(
    call: Call,
    {number, target}: Attempt,
    running: RunningAttempt,
    {findChargeRefusal, resumeAfter}: SendOptions,
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const {targetClient, wireFormat, events, finder} = this.options;
    const {access, metadata, route} = call;
    const remaining = remainingMs(call, performance.now());
    const details = {attempt: number, target: target.id};
    events.record('call-sent', details, metadata.id);
    return targetClient.send({
      id: metadata.id,
      address: target.address,
      method: call.method,
      path: call.path,
      headers: now => ({
        ...wireFormat.targetHeaders(call.headers, {
          target: target.id,
          deadlineMs:
            metadata.deadlineMs === undefined
              ? undefined
              : Math.floor(remainingMs(call, now)),
          version: finder.versionFor(metadata.work),
          priority: Math.min(LOWEST_PRIORITY, priorityOf(call)),
          tenant: access?.tenant?.name,
          dropsKey: access?.hidesKey,
          resumeAfter,
        }),
        ...createBodyHeaders(call),
      }),
      body: call.body,
      isAwaited: now => {
        running.denial = findDenial(call) ?? findChargeRefusal?.();
        return running.denial === undefined && hasTimeLeft(call, now);
      },
      signal: running.cancellation.signal,
      responseHeaderTimeoutMs: route.idempotent
        ? Math.max(
            MIN_SILENCE_MS,
            route.latencyObjectiveMs * SILENCE_LATENCY_FACTOR,
          )
        : remaining + MIN_REMAINING_MS,
    });
  }

  /** Follows how far a response gets. */
  private followProgress(
    call: Call,
    attempt: Attempt,
    running: RunningAttempt,
    response: TargetResponse,
  ): TargetResponse {
    const {metadata, message} = response;
    if (metadata.hasNotRun || !isSuccess(message.statusCode)) {
      return response;
    }
    const check = new ResponseProgress(response, {
      isStream: isStream(call, message),
      maxOutputTokens: call.metadata.work?.maxOutputTokens,
      onEnd: end =>
        this.recordEnd(call, attempt, {
          ...end,
          isAborted: running.cancellation.signal.aborted,
        }),
      onFirstEvent: () => void this.recordFirstEvent(call, attempt, response),
      onPart: () => attempt.tracker.recordEvent(performance.now()),
    });
    running.progress = check;
    return {...response, check};
  }

  /** Records the origin of a stream that callers may take up. */
  private async recordFirstEvent(
    call: Call,
    {target}: Attempt,
    {isAnnouncedStart}: TargetResponse,
  ): Promise<void> {
    const isBegun = (call.metadata.resumeAfter ?? 0) === 0;
    if (isBegun && (await isAnnouncedStart)) {
      const {streamOrigins} = this.options;
      streamOrigins.recordFirstEvent(call, target, performance.now());
    }
  }

  private recordEnd(
    call: Call,
    {number, target, tracker}: Attempt,
    end: ResponseEnd & {readonly isAborted: boolean},
  ): void {
    const {events} = this.options;
    const {id} = call.metadata;
    const {hasEvent, isAborted, isComplete, isExceeded, isStopped} = end;
    if (isExceeded) {
      this.recordExcess(call, target, number);
    }
    if (isComplete) {
      tracker.recordCompletion(performance.now());
      this.recordCompletion(call);
      return;
    }
    if (!isAborted && !isStopped) {
      tracker.recordBreak();
    }
    const details = {
      attempt: number,
      target: target.id,
      arrived: hasEvent ? 'event' : 'head',
      aborted: isAborted,
      ...describeRequest(call),
    };
    events.record('response-broken', details, id);
    if (!hasEvent || !call.route.streaming) {
      this.recordBreak(call, target, {hasHead: true, isAborted});
    }
  }

  /** Records a target whose stream holds more events than the request has tokens. */
  private recordExcess(
    call: Call,
    target: TargetAnnouncement,
    attempt: number,
  ): void {
    const {events, selector} = this.options;
    const {id, work} = call.metadata;
    const tokens = work?.maxOutputTokens ?? 0;
    const details = {attempt, target: target.id, tokens};
    events.record('stream-exceeded', details, id);
    if (selector.recordFailure(target, 'excess', performance.now())) {
      const reason = {target: target.id, reason: 'excess'};
      events.record('target-suspected', reason);
    }
  }

  private recordCompletion(call: Call): void {
    const {crashMonitor, requestCrashes} = this.options;
    const {work} = call.metadata;
    const now = performance.now();
    requestCrashes.recordCompletion(call, now);
    if (work !== undefined) {
      crashMonitor.recordCompletion(work, now);
    }
  }

  /** Records a response of which no event arrived, or that ended early if it is no stream. */
  private recordBreak(
    call: Call,
    target: TargetAnnouncement,
    end: {readonly hasHead: boolean; readonly isAborted: boolean},
  ): void {
    const {crashMonitor, crashWitness} = this.options;
    const {id, work} = call.metadata;
    const {fingerprint} = call;
    const broken = {...end, id, work, fingerprint, target};
    crashMonitor.recordBreak(broken, performance.now());
    if (!end.isAborted) {
      crashWitness.probe(target);
    }
  }

  /** Records a failure and returns the refusal for the caller. */
  handleFailure(call: Call, attempt: Attempt, failure: TargetFailure): Refusal {
    const {selector, events, metrics} = this.options;
    const {denial, kind, message, outcome} = failure;
    const {target} = attempt;
    if (kind !== 'ended') {
      const evidence = {
        invalid: 'connect-failed',
        connect: 'connect-failed',
        silent: 'timeout',
        broken: 'broken',
        crossed: 'broken',
        replaced: 'connect-failed',
      } as const;
      if (selector.recordFailure(target, evidence[kind], performance.now())) {
        events.record('target-suspected', {target: target.id, reason: kind});
      }
    }
    if (outcome !== 'not-run' && kind !== 'crossed' && kind !== 'replaced') {
      const isAborted = kind !== 'broken';
      this.recordBreak(call, target, {hasHead: false, isAborted});
    }
    metrics.recordAttempt(call.service.name, kind);
    this.record(call, attempt, denial?.reason ?? kind, outcome, message);
    if (denial !== undefined) {
      return denial;
    }
    const isCancelled = kind === 'ended' && !call.signal.aborted;
    return isCancelled
      ? this.createCancelledRefusal(call, outcome)
      : createRefusalForFailure(failure);
  }

  /**
   * Records a server error of the target, or its statement that it did not run
   * the call.
   */
  handleRejection(
    call: Call,
    attempt: Attempt,
    response: TargetResponse,
  ): Refusal {
    const {metadata, message} = response;
    discardBody(message);
    if (metadata.isMisdirected) {
      this.recordMisdirection(call, attempt.target, metadata.target);
    }
    const status = message.statusCode ?? 0;
    const reason = metadata.isMisdirected ? 'misdirected' : `status_${status}`;
    const outcome = metadata.hasNotRun ? 'not-run' : 'failed';
    const metricOutcome = metadata.hasNotRun ? 'rejected' : 'failed';
    this.options.metrics.recordAttempt(call.service.name, metricOutcome);
    this.record(call, attempt, reason, outcome);
    return new Refusal(
      outcome,
      metadata.hasNotRun ? 503 : 502,
      metadata.hasNotRun ? 'target_full' : 'target_failed',
      `the target responded with status ${status}`,
      RETRY_AFTER_SECONDS,
    );
  }

  /**
   * Handles a response that shows that another target uses the address, or that
   * the target lacks the adapter.
   */
  private recordMisdirection(
    call: Call,
    target: TargetAnnouncement,
    respondingId: string | undefined,
  ): void {
    const {crashWitness, selector} = this.options;
    const {work} = call.metadata;
    const now = performance.now();
    const isOtherTarget =
      respondingId !== undefined && respondingId !== target.id;
    if (isOtherTarget) {
      crashWitness.recordSuccessor(target);
    }
    if (isOtherTarget || work === undefined) {
      selector.recordFailure(target, 'connect-failed', now);
    } else {
      selector.recordMissingAdapter(target, work, now);
    }
  }

  private createCancelledRefusal(call: Call, outcome: RefusalOutcome): Refusal {
    const isRequest = this.options.requestCrashes.findBlock(call) !== undefined;
    return new Refusal(
      outcome,
      outcome === 'not-run' ? 503 : 502,
      isRequest ? 'request_blocked' : 'prompt_part_blocked',
      isRequest
        ? 'engines crashed on this request'
        : 'engines crashed on calls with a part of this prompt',
      outcome === 'not-run' ? RETRY_AFTER_SECONDS : undefined,
    );
  }

  private record(
    call: Call,
    {number, sentAfterMs, target}: Attempt,
    reason: string,
    outcome: string,
    message?: string,
  ): void {
    const details = {
      attempt: number,
      target: target.id,
      sentAfterMs,
      reason,
      outcome,
      ...(message !== undefined && message !== reason && {message}),
      ...(outcome === 'not-run' ? describePrompt(call) : describeRequest(call)),
    };
    this.options.events.record(
      'call-attempt-failed',
      details,
      call.metadata.id,
    );
  }
}

/** Why a successful response is not the rest of a stream; undefined if it may be. */
function findTypeFailure(
  call: Call,
  {message}: TargetResponse,
): TargetFailure | undefined {
  const isForeign =
    call.route.streaming &&
    isSuccess(message.statusCode) &&
    !isStream(call, message);
  if (!isForeign) {
    return undefined;
  }
  discardBody(message);
  const type = message.headers['content-type'];
  return {
    kind: 'broken',
    outcome: 'unknown',
    message: `status ${message.statusCode} with type "${type}" is not the rest of a stream`,
  };
}

/** Why the start of a target can't continue a stream; undefined if it can. */
async function findStartFailure({
  isAnnouncedStart,
  message,
}: TargetResponse): Promise<TargetFailure | undefined> {
  if ((await isAnnouncedStart) === false) {
    discardBody(message);
    return {
      kind: 'replaced',
      outcome: 'unknown',
      message: 'the target started anew after its announcement',
    };
  }
  // A relay that starts now would miss that the connection closed meanwhile.
  return message.destroyed
    ? {
        kind: 'broken',
        outcome: 'unknown',
        message: 'the connection closed after the response headers',
      }
    : undefined;
}

/** Whether another target responded at the address of the one that was meant. */
function isFromOtherTarget(
  {target}: Attempt,
  {metadata}: TargetResponse,
): boolean {
  return metadata.target !== undefined && metadata.target !== target.id;
}

function isStream(
  {route}: Call,
  {headers, statusCode}: IncomingMessage,
): boolean {
  const type = headers['content-type'] ?? EVENT_STREAM_TYPE;
  return (
    route.streaming &&
    statusCode === STATUS_OK &&
    type.startsWith(EVENT_STREAM_TYPE)
  );
}

/** What identifies the request when it is sent again, and its prompt, for the log. */
function describeRequest(call: Call): Record<string, string> {
  return {fingerprint: call.fingerprint(), ...describePrompt(call)};
}

/** The model and the parts of the prompt, for the log. */
function describePrompt({metadata: {work}}: Call): Record<string, string> {
  return work === undefined
    ? {}
    : {model: work.model, parts: work.parts.map(({id}) => id).join(' ')};
}

function createBodyHeaders({body, headers}: Call): Record<string, number> {
  const hasBodyHeader =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return hasBodyHeader || body.byteLength > 0
    ? {'content-length': body.byteLength}
    : {};
}
