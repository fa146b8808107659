import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import type {AdapterAgentClient} from './adapter-agent-client.js';
import {AttemptFailureRecorder} from './attempt-failure-recorder.js';
import type {Attempt} from './attempt.js';
import {
  findDenial,
  hasTimeLeft,
  priorityOf,
  remainingMs,
  MIN_REMAINING_MS,
  type Call,
} from './call.js';
import {CrashRecorder, type CrashRecorderOptions} from './crash-recorder.js';
import type {CrashWitness} from './crash-witness.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import {
  findStartFailure,
  findTypeFailure,
  isFromOtherTarget,
  isStream,
} from './response-head.js';
import type {ResponseProgress} from './response-progress.js';
import {ResponseRecorder} from './response-recorder.js';
import type {StreamOrigins} from './stream-origins.js';
import {
  isSuccess,
  type TargetClient,
  type TargetFailure,
  type TargetResponse,
} from './target-client.js';
import type {TargetFinder} from './target-finder.js';
import type {TargetLimits} from './target-limits.js';
import type {TargetSelector} from './target-selector.js';
import type {WireFormat} from './wire-format.js';

/** How one attempt is sent. */
export interface SendOptions {
  /** Returns why the call's charge does not cover it any more; undefined if it does. */
  readonly findChargeRefusal?: () => Refusal | undefined;
  /** The event after which the stream continues; the one that the caller states by default. */
  readonly resumeAfter?: number;
}

/** Options of an attempt sender. */
export interface AttemptSenderOptions extends CrashRecorderOptions {
  readonly finder: Pick<TargetFinder, 'versionFor'>;
  readonly selector: TargetSelector;
  readonly targetClient: TargetClient;
  readonly agentClient: Pick<AdapterAgentClient, 'startUse'>;
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
const LOWEST_PRIORITY = 9;
/** Maximum length of a header's value in a log line, in characters. */
const MAX_LOGGED_LENGTH = 64;

/** Sends calls to targets and records the results. */
export class AttemptSender {
  private readonly runningAttempts = new Set<RunningAttempt>();
  private readonly crashes: CrashRecorder;
  private readonly responses: ResponseRecorder;
  private readonly failures: AttemptFailureRecorder;

  constructor(private readonly options: AttemptSenderOptions) {
    const crashes = new CrashRecorder(options);
    this.crashes = crashes;
    this.responses = new ResponseRecorder({...options, crashes});
    this.failures = new AttemptFailureRecorder({...options, crashes});
  }

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
    const response = {
      ...this.identifyStart(call, attempt, sent.value),
      chunkMeter: attempt.tracker.chunkMeter,
      onChunkExcess: () => this.responses.recordChunkExcess(attempt.target),
      onFragmented: () => this.responses.recordFragmentation(call, attempt),
    };
    const isContinued = resumeAfter !== undefined;
    const failure = isContinued
      ? (findTypeFailure(call, response) ?? (await findStartFailure(response)))
      : undefined;
    if (failure !== undefined) {
      this.endAttempt(running);
      return Result.err(failure);
    }
    const {signal} = running.cancellation;
    const check = this.responses.follow(call, attempt, response, signal);
    running.progress = check;
    return Result.ok(check === undefined ? response : {...response, check});
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
      if (!hasBegun && this.crashes.isBlocked(call)) {
        cancellation.abort();
      }
    }
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

  /** Records a failure and returns the refusal for the caller. */
  handleFailure(call: Call, attempt: Attempt, failure: TargetFailure): Refusal {
    return this.failures.recordFailure(call, attempt, failure);
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
    return this.failures.recordRejection(call, attempt, response);
  }
}

function createBodyHeaders({body, headers}: Call): Record<string, number> {
  const hasBodyHeader =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return hasBodyHeader || body.byteLength > 0
    ? {'content-length': body.byteLength}
    : {};
}
