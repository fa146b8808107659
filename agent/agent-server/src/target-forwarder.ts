import http, {type ClientRequest, type IncomingMessage} from 'node:http';
import {BoundedSignal} from '@marigoldspur/bounded-signal';
import type {EventLog} from '@marigoldspur/event-log';
import {openRequest, urlForPath} from '@marigoldspur/http-link';
import type {AgentMetrics} from './agent-metrics.js';
import {refuseAttempt} from './attempt-response.js';
import type {EngineComponents} from './engine-components.js';
import {
  endAfterConnectionError,
  connectionErrorRefusal,
  eventForEnd,
  isSettled,
  type AttemptEnd,
} from './attempt-end.js';
import {attemptId, targetHeaders} from './attempt-headers.js';
import type {CheckedAttempt} from './checked-attempt.js';
import type {StreamReader, StreamRegistry} from './stream-registry.js';
import {
  isCrossed,
  resumeWindowMs,
  TargetResponseHandler,
} from './target-response.js';

/** What a forwarder works with. */
export interface TargetForwarderOptions {
  readonly targetUrl: string;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly streams: StreamRegistry;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
}

/** Forwards checked attempts to the target and relays the answers. */
export class TargetForwarder {
  private readonly keptAlive = new http.Agent({keepAlive: true});
  /** A kept connection may be closing, which leaves open whether a request ran. */
  private readonly fresh = new http.Agent({keepAlive: false});
  private readonly answers: TargetResponseHandler;

  constructor(private readonly options: TargetForwarderOptions) {
    this.answers = new TargetResponseHandler(options.engine);
  }

  /** Forwards an attempt; its pin is released once the target has stopped it. */
  async forward(attempt: CheckedAttempt): Promise<void> {
    const {events, metrics} = this.options;
    const {hop} = attempt;
    events.record('attempt-forwarded', {attempt: hop.attempt}, hop.request);
    const exchange = new TargetExchange(attempt, this.options, this.answers);
    const agent = hop.repeatable ? this.keptAlive : this.fresh;
    const end = await exchange.run(agent);
    metrics.attempts.inc({end});
    events.record(eventForEnd(end), {attempt: hop.attempt, end}, hop.request);
    this.release(attempt, exchange, end);
  }

  private release(
    attempt: CheckedAttempt,
    {reader, resumableMs}: TargetExchange,
    end: AttemptEnd,
  ): void {
    const {engine, streams} = this.options;
    const {deadlineMs, hop, pin} = attempt;
    if (reader !== undefined && end !== 'whole') {
      const leftMs = deadlineMs - performance.now();
      streams.recordDisconnect(reader, Math.min(leftMs, resumableMs));
    } else if (reader !== undefined) {
      streams.recordEnd(reader);
    } else if (pin !== undefined && isSettled(end)) {
      pin.release(performance.now());
    } else if (pin !== undefined) {
      engine?.watch.releaseWhenStopped(attemptId(hop), pin);
    }
  }
}

/** One attempt on its way to the target. */
class TargetExchange {
  /** Reader of the answer, where it can be resumed. */
  reader: StreamReader | undefined;
  resumableMs = 0;
  private reached = false;
  private readonly bounded: BoundedSignal;

  constructor(
    private readonly attempt: CheckedAttempt,
    private readonly options: TargetForwarderOptions,
    private readonly answers: TargetResponseHandler,
  ) {
    const {deadlineMs, signal} = attempt;
    this.bounded = new BoundedSignal({
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - performance.now())),
      parentSignals: [signal],
    });
  }

  /** Resolves with how the attempt ended. */
  run(agent: http.Agent): Promise<AttemptEnd> {
    const {bounded, attempt} = this;
    const {body, hop, request, response, signal} = attempt;
    return new Promise(resolve => {
      const call = openRequest({
        url: urlForPath(this.options.targetUrl, request.url ?? '/'),
        method: request.method ?? 'POST',
        headers: targetHeaders(request, body, hop),
        agent,
        signal: bounded.signal,
      });
      this.noteConnection(call);
      call.on('error', error => {
        const {reached} = this;
        refuseAttempt(
          hop,
          response,
          connectionErrorRefusal(reached, bounded.hasTimedOut, error.message),
        );
        resolve(endAfterConnectionError(reached, signal.aborted));
      });
      call.on('response', answer => {
        this.openReader(answer);
        void this.answers.handle(attempt, answer).then(resolve);
      });
      call.on('close', () => bounded.dispose());
      call.end(body);
    });
  }

  private noteConnection(call: ClientRequest): void {
    call.on('socket', socket => {
      this.reached = !socket.connecting;
      if (!this.reached) {
        socket.once('connect', () => {
          this.reached = true;
        });
      }
    });
  }

  private openReader(answer: IncomingMessage): void {
    const {attempt} = this;
    const resumableMs = resumeWindowMs(answer);
    const fits = answer.statusCode === 200 && !isCrossed(attempt, answer);
    if (attempt.hop.model === undefined || resumableMs === 0 || !fits) {
      return;
    }
    this.resumableMs = resumableMs;
    this.reader = this.options.streams.open({
      id: attemptId(attempt.hop),
      pin: attempt.pin,
      leave: () => answer.destroy(),
    });
  }
}
