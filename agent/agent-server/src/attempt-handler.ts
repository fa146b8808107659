import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {createDisconnectSignal} from '@marigoldspur/abort-signals';
import {formatFindings, type Refusal} from '@marigoldspur/faults';
import {ChunkMeter} from '@marigoldspur/http-link';
import {
  formatPrefixChanges,
  HOP_HEADERS,
  parseEventNumber,
  parseHop,
  type Hop,
} from '@marigoldspur/messages';
import type {AgentMetrics} from './agent-metrics.js';
import {attemptId} from './attempt-headers.js';
import {
  ForwardAdmission,
  type ForwardAdmissionOptions,
} from './forward-admission.js';
import {refuseAttempt} from './attempt-response.js';
import {
  AttemptValidator,
  type AttemptValidatorOptions,
} from './attempt-validator.js';
import {unknownOutcomeRefusal} from './attempt-end.js';
import {attemptTimes} from './attempt-times.js';
import {notRunRefusal} from './not-run-refusal.js';
import {ResumeHandler} from './resume-handler.js';
import {StreamRegistry} from './stream-registry.js';
import {TargetForwarder} from './target-forwarder.js';
import {TransitDelayEstimator} from './transit-delay-estimator.js';

/** Options of an attempt handler. */
export interface AttemptHandlerOptions
  extends AttemptValidatorOptions, ForwardAdmissionOptions {
  readonly targetUrl: string;
  /**
   * Called with the settings revision and the URL of the entry that sent an
   * attempt.
   */
  readonly onRevision?: (revision: number, url: string | undefined) => void;
  readonly metrics: AgentMetrics;
}

/** Options of a run of an attempt. Times are `performance.now()` values. */
interface RunOptions {
  /** Whether the entry waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
  readonly deadlineMs: number;
  /** When the entry stops waiting for the first byte of the response. */
  readonly firstByteDeadlineMs: number;
  /** Aborted when the entry disconnects. */
  readonly signal: AbortSignal;
}

/**
 * Transit delay after which the entry may already have abandoned the attempt.
 */
const STALE_AFTER_MS = 500;
/** How long to wait for a disconnect that may follow a delayed attempt. */
const DISCONNECT_WAIT_MS = 250;
/** Number that stands for the beginning of a stream on a resume request. */
const BEFORE_FIRST_EVENT = -1;

/**
 * Receives attempts from entries, validates them and forwards them to the
 * target.
 */
export class AttemptHandler {
  private readonly validator: AttemptValidator;
  private readonly admission: ForwardAdmission;
  private readonly forwarder: TargetForwarder;
  private readonly resumeHandler: ResumeHandler;
  private readonly transitDelays = new TransitDelayEstimator();
  private active = 0;
  private heldBytes = 0;
  private isClosed = false;

  constructor(private readonly options: AttemptHandlerOptions) {
    const {engine, events} = options;
    const streams = new StreamRegistry({
      events,
      stop: (id, pin) => engine?.monitor.abortAndRelease(id, pin),
    });
    const chunkMeter = new ChunkMeter();
    this.validator = new AttemptValidator(options);
    this.admission = new ForwardAdmission(options);
    this.forwarder = new TargetForwarder({...options, chunkMeter, streams});
    this.resumeHandler = new ResumeHandler({...options, chunkMeter, streams});
  }

  /** Number of attempts that are running or waiting. */
  get activeCount(): number {
    return this.active;
  }

  /** Refuses all further attempts. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Handles an attempt. If the entry expects `100 Continue`, it is sent only
   * after the attempt is validated and its adapter pinned. The attempt does not
   * run before its body has been received.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue = false,
  ): Promise<void> {
    this.active += 1;
    try {
      await this.handleAttempt(request, response, expectsContinue);
    } finally {
      this.active -= 1;
    }
  }

  private async handleAttempt(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const hop = parseHop(request.headers);
    if (hop.isErr) {
      const message = formatFindings(hop.error);
      this.refuse(undefined, response, notRunRefusal(400, 'bad_hop', message));
      return;
    }
    const {events} = this.options;
    const {request: id, attempt, revision, origin} = hop.value;
    this.options.onRevision?.(revision, origin);
    const currentRevision = this.options.settings.settings.revision;
    response.setHeader(HOP_HEADERS.revision, String(currentRevision));
    events.record('attempt-received', {attempt}, id);
    const disconnectSignal = createDisconnectSignal(response);
    const times = attemptTimes(
      hop.value,
      this.transitDelays,
      performance.now(),
    );
    const {deadlineMs, delayMs, firstByteDeadlineMs} = times;
    if (request.headers[HOP_HEADERS.cancel] === 'true') {
      this.resumeHandler.cancel(hop.value, response);
      return;
    }
    const after = request.headers[HOP_HEADERS.resumeAfter];
    if (after !== undefined) {
      await this.resume(
        hop.value,
        String(after),
        response,
        deadlineMs,
        disconnectSignal,
      );
      return;
    }
    if (delayMs >= STALE_AFTER_MS) {
      events.record('attempt-delayed', {attempt, delayMs}, id);
      await pause(DISCONNECT_WAIT_MS, undefined, {
        signal: disconnectSignal,
      }).catch(() => {});
    }
    this.exchangePrefixHints(hop.value, response);
    const bytes = Number(request.headers['content-length'] ?? 0);
    this.heldBytes += bytes;
    try {
      const result = await this.run(hop.value, request, response, {
        expectsContinue,
        deadlineMs,
        firstByteDeadlineMs,
        signal: disconnectSignal,
      });
      if (result.isErr) {
        this.refuse(hop.value, response, result.error);
      }
    } finally {
      this.heldBytes -= bytes;
    }
  }

  /**
   * Records the prompt prefix of an attempt and adds the recent prefix cache
   * changes to the response.
   */
  private exchangePrefixHints(hop: Hop, response: ServerResponse): void {
    const prefixes = this.options.engine?.prefixes;
    if (prefixes === undefined || hop.prefix === undefined) {
      return;
    }
    prefixes.recordRequest(attemptId(hop), hop.prefix);
    const changes = prefixes.recentChanges();
    if (changes !== undefined) {
      const text = formatPrefixChanges(changes);
      response.setHeader(HOP_HEADERS.prefixChanges, text);
    }
  }

  private async resume(
    hop: Hop,
    text: string,
    response: ServerResponse,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const after =
      text === String(BEFORE_FIRST_EVENT)
        ? BEFORE_FIRST_EVENT
        : parseEventNumber(text);
    const refusal =
      after === undefined
        ? unknownOutcomeRefusal(
            400,
            'bad_hop',
            `event number "${text}" of the resume request is not an integer`,
          )
        : await this.resumeHandler.resume({
            hop,
            after,
            response,
            deadlineMs,
            signal,
          });
    if (refusal !== undefined) {
      const {attempt, request} = hop;
      const {reason} = refusal;
      this.options.events.record('resume-refused', {attempt, reason}, request);
      refuseAttempt(hop, response, refusal);
    }
  }

  private async run(
    hop: Hop,
    request: IncomingMessage,
    response: ServerResponse,
    options: RunOptions,
  ): Promise<Result<void, Refusal>> {
    const {deadlineMs, expectsContinue, firstByteDeadlineMs, signal} = options;
    const {isClosed, heldBytes} = this;
    const load = {isClosed, heldBytes};
    const expired = this.admission.checkDeadline(hop, deadlineMs, signal);
    if (expired !== undefined) {
      return Result.err(expired);
    }
    const refusal = this.validator.checkHeaders(
      hop,
      request,
      expectsContinue,
      load,
    );
    if (refusal !== undefined) {
      return Result.err(refusal);
    }
    let body = expectsContinue
      ? undefined
      : await this.validator.readCheckedBody(hop, request, deadlineMs);
    if (body?.isErr) {
      return Result.err(body.error);
    }
    const pin = await this.admission.pinAdapter(
      hop,
      firstByteDeadlineMs,
      signal,
    );
    if (pin.isErr) {
      return Result.err(pin.error);
    }
    if (body === undefined) {
      response.writeContinue();
      body = await this.validator.readCheckedBody(hop, request, deadlineMs);
    }
    const lateRefusal = body.isErr
      ? body.error
      : await this.admission.checkBeforeForward(
          hop,
          pin.value?.boot,
          deadlineMs,
          signal,
        );
    if (lateRefusal !== undefined || body.isErr) {
      pin.value?.pin.release(performance.now());
      return lateRefusal === undefined
        ? Result.ok(undefined)
        : Result.err(lateRefusal);
    }
    const hasNoLength = request.headers['content-length'] === undefined;
    const bytes = hasNoLength ? body.value.length : 0;
    this.heldBytes += bytes;
    try {
      await this.forwarder.forward({
        hop,
        request,
        body: body.value,
        response,
        deadlineMs,
        signal,
        pin: pin.value?.pin,
        boot: pin.value?.boot,
      });
    } finally {
      this.heldBytes -= bytes;
    }
    return Result.ok(undefined);
  }

  private refuse(
    hop: Hop | undefined,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    const {reason, outcome} = refusal;
    this.options.metrics.attempts.inc({end: outcome});
    this.options.events.record(
      'attempt-refused',
      {attempt: hop?.attempt ?? 0, reason, outcome},
      hop?.request,
    );
    refuseAttempt(hop, response, refusal);
  }
}
