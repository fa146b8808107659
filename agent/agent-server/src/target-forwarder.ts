import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {openRequest, readBody} from '@marigoldspur/http-link';
import type {Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {BOOT_HEADER, REQUEST_ID_HEADER} from '@marigoldspur/target-client';
import type {AgentMetrics} from './agent-metrics.js';
import {engineAnswerCheck, PassCheck} from './answer-check.js';
import {
  refuseAttempt,
  relayAnswer,
  sendAnswer,
  type RelayEnd,
} from './attempt-answer.js';
import type {EngineParts} from './attempt-desk.js';
import {attemptId, targetHeaders} from './attempt-headers.js';
import {notRun} from './not-run.js';

/** What a forwarder works with. */
export interface TargetForwarderOptions {
  readonly targetUrl: string;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  /** Absent for a plain service. */
  readonly engine?: EngineParts;
}

/** A checked attempt. */
export interface CheckedAttempt {
  readonly hop: Hop;
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly response: ServerResponse;
  /** Latest end, a `performance.now()` time. */
  readonly deadlineMs: number;
  /** Aborted once the entry is gone. */
  readonly signal: AbortSignal;
  /** Absent for a plain service. */
  readonly pin?: Pin;
  /** Boot of the engine that holds the adapter. */
  readonly boot?: string;
}

/** How an attempt ended at the target. `unreached`: nothing was sent. */
type AttemptEnd = RelayEnd | 'unreached' | 'not-held' | 'failed' | 'unknown';

const MAX_ERROR_BYTES = 1_048_576;
const RETRY_SOON_SECONDS = 1;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
/** Ends after which the target certainly runs nothing of the attempt. */
const SETTLED_ENDS = new Set<AttemptEnd>([
  'whole',
  'unreached',
  'not-held',
  'failed',
]);

const OVER_BUDGET = new Error('the time for the attempt is over');
const ENTRY_GONE = new Error('the entry went away');

/** Forwards checked attempts to the target and relays the answers. */
export class TargetForwarder {
  private readonly keptAlive = new http.Agent({keepAlive: true});
  /** A kept connection may be closing, which leaves open whether a request ran. */
  private readonly fresh = new http.Agent({keepAlive: false});

  constructor(private readonly options: TargetForwarderOptions) {}

  /** Forwards an attempt; its pin is released once the target has stopped it. */
  async forward(attempt: CheckedAttempt): Promise<void> {
    const {events, metrics} = this.options;
    const {hop} = attempt;
    events.record('attempt-forwarded', {attempt: hop.attempt}, hop.request);
    const end = await this.send(attempt);
    metrics.attempts.inc({end});
    events.record(eventOf(end), {attempt: hop.attempt, end}, hop.request);
    this.release(attempt, end);
  }

  private release(attempt: CheckedAttempt, end: AttemptEnd): void {
    const {pin} = attempt;
    if (pin === undefined) {
      return;
    }
    if (SETTLED_ENDS.has(end)) {
      pin.release(performance.now());
      return;
    }
    const id = attemptId(attempt.hop);
    this.options.engine?.watch.releaseWhenStopped(id, pin);
  }

  private send(attempt: CheckedAttempt): Promise<AttemptEnd> {
    const {body, hop, request, response, signal} = attempt;
    return new Promise(resolve => {
      let reached = false;
      const call = openRequest({
        url: new URL(request.url ?? '/', this.options.targetUrl),
        method: request.method ?? 'POST',
        headers: targetHeaders(request, body, hop),
        agent: hop.repeatable ? this.keptAlive : this.fresh,
      });
      const limit = limitCall(call, attempt);
      call.on('socket', socket => {
        reached = !socket.connecting;
        if (!reached) {
          socket.once('connect', () => {
            reached = true;
          });
        }
      });
      call.on('error', error => {
        const late = error === OVER_BUDGET;
        refuseAttempt(
          hop,
          response,
          brokenTarget(reached, late, error.message),
        );
        resolve(brokenEnd(reached, signal.aborted));
      });
      call.on('response', answer => {
        void this.receive(attempt, answer).then(resolve);
      });
      call.on('close', limit.lift);
      call.end(body);
    });
  }

  private receive(
    attempt: CheckedAttempt,
    answer: IncomingMessage,
  ): Promise<AttemptEnd> {
    const {hop, response} = attempt;
    if (hop.model === undefined) {
      return relayAnswer(hop, answer, response, new PassCheck());
    }
    if (answer.statusCode !== STATUS_OK) {
      return this.receiveError(attempt, formatModel(hop.model), answer);
    }
    if (isCrossed(attempt, answer)) {
      answer.destroy();
      const message = 'the answer is of another request or boot';
      const refusal = unknown(502, 'crossed_answer', message);
      refuseAttempt(hop, response, refusal);
      return Promise.resolve('crossed');
    }
    const check = engineAnswerCheck(answer, formatModel(hop.model));
    return relayAnswer(hop, answer, response, check);
  }

  /** Takes an engine's error: not held, a failure of the engine, or the caller's mistake. */
  private async receiveError(
    attempt: CheckedAttempt,
    model: string,
    answer: IncomingMessage,
  ): Promise<AttemptEnd> {
    const {hop, response} = attempt;
    const body = await readBody(answer, MAX_ERROR_BYTES);
    if (body.isErr) {
      answer.destroy();
      refuseAttempt(hop, response, unknown(502, 'torn_answer', 'torn answer'));
      return 'torn';
    }
    const status = answer.statusCode ?? STATUS_SERVER_ERROR;
    if (status === STATUS_NOT_FOUND && isNotHeld(body.value)) {
      this.takeNotHeld(attempt, model, answer);
      return 'not-held';
    }
    if (status >= STATUS_SERVER_ERROR) {
      const message = `the engine answered with status ${status}`;
      const reason = 'target_failed';
      refuseAttempt(
        hop,
        response,
        new Refusal('failed', 502, reason, message, RETRY_SOON_SECONDS),
      );
      return 'failed';
    }
    sendAnswer(hop, answer, body.value, response);
    return 'whole';
  }

  private takeNotHeld(
    attempt: CheckedAttempt,
    model: string,
    answer: IncomingMessage,
  ): void {
    const {engine} = this.options;
    if (isOfBoot(attempt, answer)) {
      engine?.host.distrust(model);
    } else {
      void engine?.watch.check();
    }
    refuseAttempt(
      attempt.hop,
      attempt.response,
      notRun(503, 'adapter_not_held', 'the engine does not hold the adapter'),
    );
  }
}

/**
 * Breaks a call off once its time is over or its entry is gone. Plain timers in place
 * of `AbortSignal.timeout`, which would live on for the whole budget of each request.
 */
function limitCall(
  call: http.ClientRequest,
  {deadlineMs, signal}: CheckedAttempt,
): {lift: () => void} {
  const leave = () => call.destroy(ENTRY_GONE);
  const timer = setTimeout(
    () => call.destroy(OVER_BUDGET),
    Math.max(1, Math.ceil(deadlineMs - performance.now())),
  );
  signal.addEventListener('abort', leave, {once: true});
  return {
    lift: () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', leave);
    },
  };
}

function isOfBoot(attempt: CheckedAttempt, answer: IncomingMessage): boolean {
  const boot = answer.headers[BOOT_HEADER];
  return boot === undefined || boot === attempt.boot;
}

function isCrossed(attempt: CheckedAttempt, answer: IncomingMessage): boolean {
  const id = answer.headers[REQUEST_ID_HEADER];
  const otherId = id !== undefined && id !== attemptId(attempt.hop);
  return otherId || !isOfBoot(attempt, answer);
}

/** Whether an engine's error says that it does not hold the model. */
function isNotHeld(body: Buffer): boolean {
  try {
    const {error} = JSON.parse(body.toString('utf8')) as {
      error?: {code?: unknown};
    };
    return error?.code === 'model_not_found';
  } catch {
    return false;
  }
}

function brokenEnd(reached: boolean, cancelled: boolean): AttemptEnd {
  if (!reached) {
    return 'unreached';
  }
  return cancelled ? 'cancelled' : 'unknown';
}

function eventOf(end: AttemptEnd) {
  switch (end) {
    case 'whole':
      return 'attempt-ended';
    case 'cancelled':
      return 'attempt-cancelled';
    case 'crossed':
      return 'target-answer-crossed';
    case 'torn':
      return 'target-answer-torn';
    case 'unreached':
    case 'not-held':
      return 'attempt-refused';
    case 'failed':
    case 'unknown':
      return 'attempt-failed';
  }
}

function unknown(status: number, reason: string, message: string): Refusal {
  return new Refusal('unknown', status, reason, message, RETRY_SOON_SECONDS);
}

function brokenTarget(
  reached: boolean,
  late: boolean,
  message: string,
): Refusal {
  if (!reached) {
    return notRun(503, 'target_unreachable', message);
  }
  return late
    ? unknown(504, 'no_answer_in_time', 'the target did not answer in time')
    : unknown(502, 'target_broke_off', message);
}
