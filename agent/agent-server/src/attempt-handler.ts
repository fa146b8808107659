import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {disconnectSignal} from '@marigoldspur/bounded-signal';
import {formatFindings, type Refusal} from '@marigoldspur/faults';
import {
  formatPrefixChanges,
  HOP_HEADERS,
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

/** What an attempt desk works with. */
export interface AttemptHandlerOptions
  extends AttemptValidatorOptions, ForwardAdmissionOptions {
  readonly targetUrl: string;
  /** Is told the settings revision of an entry, and the entry's URL. */
  readonly heard?: (revision: number, url: string | undefined) => void;
  readonly metrics: AgentMetrics;
}

/** How an attempt is run; times are `performance.now()` times. */
interface RunOptions {
  /** Whether the body waits to be continued. */
  readonly expects: boolean;
  readonly deadlineMs: number;
  /** Time at which the entry gives up on an answer that has not begun. */
  readonly firstByteBy: number;
  /** Aborted once the entry is gone. */
  readonly signal: AbortSignal;
}

/** Delay on the way after which an entry may have given an attempt up, in milliseconds. */
const STALE_AFTER_MS = 500;
/** Time for the end of the link to follow a delayed attempt, in milliseconds. */
const CONFIRM_MS = 250;
const RESUME_AFTER = /^(-1|\d{1,9})$/;

/** Takes attempts from entries, checks them and forwards them to the target. */
export class AttemptHandler {
  private readonly checks: AttemptValidator;
  private readonly gate: ForwardAdmission;
  private readonly forwarder: TargetForwarder;
  private readonly resumes: ResumeHandler;
  private readonly transit = new TransitDelayEstimator();
  private running = 0;
  private heldBytes = 0;
  private closed = false;

  constructor(private readonly options: AttemptHandlerOptions) {
    const {engine, events} = options;
    const streams = new StreamRegistry({
      events,
      stop: (id, pin) => engine?.watch.releaseWhenStopped(id, pin),
    });
    this.checks = new AttemptValidator(options);
    this.gate = new ForwardAdmission(options);
    this.forwarder = new TargetForwarder({...options, streams});
    this.resumes = new ResumeHandler({...options, streams});
  }

  /** Attempts that run or wait here. */
  get load(): number {
    return this.running;
  }

  /** Refuses attempts from now on. */
  close(): void {
    this.closed = true;
  }

  /**
   * Takes one attempt. One that `expects` to be told to continue is told so only once
   * it is checked and its adapter pinned; until its body comes, it has not run.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    expects = false,
  ): Promise<void> {
    this.running += 1;
    try {
      await this.attempt(request, response, expects);
    } finally {
      this.running -= 1;
    }
  }

  private async attempt(
    request: IncomingMessage,
    response: ServerResponse,
    expects: boolean,
  ): Promise<void> {
    const hop = parseHop(request.headers);
    if (hop.isErr) {
      const message = formatFindings(hop.error);
      this.refuse(undefined, response, notRunRefusal(400, 'bad_hop', message));
      return;
    }
    const {events} = this.options;
    const {request: id, attempt, revision, origin} = hop.value;
    this.options.heard?.(revision, origin);
    const inForce = this.options.settings.settings.revision;
    response.setHeader(HOP_HEADERS.revision, String(inForce));
    events.record('attempt-received', {attempt}, id);
    const gone = disconnectSignal(response);
    const times = attemptTimes(hop.value, this.transit, performance.now());
    const {deadlineMs, delayMs, firstByteBy} = times;
    if (request.headers[HOP_HEADERS.cancel] === 'true') {
      this.resumes.cancel(hop.value, response);
      return;
    }
    const after = request.headers[HOP_HEADERS.resumeAfter];
    if (after !== undefined) {
      await this.resume(hop.value, String(after), response, deadlineMs, gone);
      return;
    }
    if (delayMs >= STALE_AFTER_MS) {
      events.record('attempt-delayed', {attempt, delayMs}, id);
      await pause(CONFIRM_MS, undefined, {signal: gone}).catch(() => {});
    }
    this.exchangePrefixes(hop.value, response);
    const bytes = Number(request.headers['content-length'] ?? 0);
    this.heldBytes += bytes;
    try {
      const done = await this.run(hop.value, request, response, {
        expects,
        deadlineMs,
        firstByteBy,
        signal: gone,
      });
      if (done.isErr) {
        this.refuse(hop.value, response, done.error);
      }
    } finally {
      this.heldBytes -= bytes;
    }
  }

  /** Takes note of an attempt's prompt, and tells how the prefix cache changed. */
  private exchangePrefixes(hop: Hop, response: ServerResponse): void {
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
    after: string,
    response: ServerResponse,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const resume = {hop, after: Number(after), response, deadlineMs, signal};
    const refusal = RESUME_AFTER.test(after)
      ? await this.resumes.resume(resume)
      : unknownOutcomeRefusal(400, 'bad_hop', 'a resume names a whole number');
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
    const {deadlineMs, expects, firstByteBy, signal} = options;
    const {closed, heldBytes} = this;
    const load = {closed, heldBytes};
    const overdue = this.gate.overdue(hop, deadlineMs, signal);
    if (overdue !== undefined) {
      return Result.err(overdue);
    }
    const refusal = this.checks.checkHeaders(hop, request, expects, load);
    if (refusal !== undefined) {
      return Result.err(refusal);
    }
    let body = expects
      ? undefined
      : await this.checks.readCheckedBody(hop, request, deadlineMs);
    if (body?.isErr) {
      return Result.err(body.error);
    }
    const pin = await this.gate.pinAdapter(hop, firstByteBy, signal);
    if (pin.isErr) {
      return Result.err(pin.error);
    }
    if (body === undefined) {
      response.writeContinue();
      body = await this.checks.readCheckedBody(hop, request, deadlineMs);
    }
    const late = body.isErr
      ? body.error
      : await this.gate.checkBeforeForward(
          hop,
          pin.value?.boot,
          deadlineMs,
          signal,
        );
    if (late !== undefined || body.isErr) {
      pin.value?.pin.release(performance.now());
      return late === undefined ? Result.ok(undefined) : Result.err(late);
    }
    const unstated = request.headers['content-length'] === undefined;
    const bytes = unstated ? body.value.length : 0;
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
