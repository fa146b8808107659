import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import type {EventLog} from '@marigoldspur/event-log';
import {
  openRequest,
  TargetHttpAgent,
  urlForPath,
  type ChunkMeter,
} from '@marigoldspur/http-link';
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

/** Options of a target forwarder. */
export interface TargetForwarderOptions {
  readonly targetUrl: string;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly streams: StreamRegistry;
  /** Counts the chunks of all responses of the target. */
  readonly chunkMeter: ChunkMeter;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
}

/** Forwards validated attempts to the target and relays the responses. */
export class TargetForwarder {
  private readonly keepAliveAgent = new TargetHttpAgent();
  /**
   * Opens a connection per request. A reused connection may be closing, which
   * leaves it unknown whether a request ran.
   */
  private readonly singleUseAgent = new TargetHttpAgent({keepAlive: false});
  private readonly responseHandler: TargetResponseHandler;

  constructor(private readonly options: TargetForwarderOptions) {
    this.responseHandler = new TargetResponseHandler(options);
  }

  /**
   * Forwards an attempt. Its pin is released once the target no longer runs it.
   */
  async forward(attempt: CheckedAttempt): Promise<void> {
    const {events, metrics} = this.options;
    const {hop} = attempt;
    events.record('attempt-forwarded', {attempt: hop.attempt}, hop.request);
    const exchange = new TargetExchange(
      attempt,
      this.options,
      this.responseHandler,
    );
    const agent = hop.repeatable ? this.keepAliveAgent : this.singleUseAgent;
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
      const remainingMs = deadlineMs - performance.now();
      streams.recordDisconnect(reader, Math.min(remainingMs, resumableMs));
    } else if (reader !== undefined) {
      streams.recordEnd(reader);
    } else if (pin !== undefined && isSettled(end)) {
      pin.release(performance.now());
    } else if (pin !== undefined) {
      engine?.monitor.abortAndRelease(attemptId(hop), pin);
    }
  }
}

/** One forwarded attempt and its response. */
class TargetExchange {
  /** Reader of the response if it can be resumed. */
  reader: StreamReader | undefined;
  resumableMs = 0;
  private hasConnected = false;
  private readonly bounded: BoundedSignal;

  constructor(
    private readonly attempt: CheckedAttempt,
    private readonly options: TargetForwarderOptions,
    private readonly responseHandler: TargetResponseHandler,
  ) {
    const {deadlineMs, signal} = attempt;
    this.bounded = new BoundedSignal({
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - performance.now())),
      parentSignals: [signal],
    });
  }

  /** Resolves with how the attempt ended. */
  run(agent: Agent): Promise<AttemptEnd> {
    const {bounded, attempt} = this;
    const {body, hop, request, response, signal} = attempt;
    return new Promise((resolve, reject) => {
      const targetRequest = openRequest({
        url: urlForPath(this.options.targetUrl, request.url ?? '/'),
        method: request.method ?? 'POST',
        headers: targetHeaders(request, body, hop),
        agent,
        signal: bounded.signal,
      });
      this.trackConnection(targetRequest);
      let hasEnded = false;
      const fail = (message: string) => {
        // The response may be whole although its connection failed.
        if (hasEnded) {
          return;
        }
        hasEnded = true;
        const {hasConnected} = this;
        refuseAttempt(
          hop,
          response,
          connectionErrorRefusal(hasConnected, bounded.hasTimedOut, message),
        );
        resolve(endAfterConnectionError(hasConnected, signal.aborted));
      };
      targetRequest.on('error', error => fail(error.message));
      targetRequest.on('response', targetResponse => {
        hasEnded = true;
        this.openReader(targetResponse);
        this.responseHandler
          .handle(attempt, targetResponse)
          .then(resolve, reject);
      });
      targetRequest.on('close', () => {
        bounded.dispose();
        // Without a response, as after a change of protocols, there may be no error.
        fail('no response came');
      });
      targetRequest.end(body);
    });
  }

  private trackConnection(targetRequest: ClientRequest): void {
    targetRequest.on('socket', socket => {
      this.hasConnected = !socket.connecting;
      if (!this.hasConnected) {
        socket.once('connect', () => {
          this.hasConnected = true;
        });
      }
    });
  }

  private openReader(targetResponse: IncomingMessage): void {
    const {attempt} = this;
    const resumableMs = resumeWindowMs(targetResponse);
    const isOwnResponse =
      targetResponse.statusCode === 200 && !isCrossed(attempt, targetResponse);
    if (
      attempt.hop.model === undefined ||
      resumableMs === 0 ||
      !isOwnResponse
    ) {
      return;
    }
    this.resumableMs = resumableMs;
    this.reader = this.options.streams.open({
      id: attemptId(attempt.hop),
      pin: attempt.pin,
      stopReading: () => targetResponse.destroy(),
    });
  }
}
