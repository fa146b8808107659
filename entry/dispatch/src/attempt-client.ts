import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {discardBody, openRequest, urlForPath} from '@marigoldspur/http-link';
import {
  HOP_HEADERS,
  parsePrefixChanges,
  type Hop,
  type PrefixChanges,
} from '@marigoldspur/messages';
import {readAgentRefusal} from './agent-refusal.js';
import {
  createAttemptHeaders,
  createCancelHeaders,
  waitsForContinue,
} from './attempt-headers.js';
import type {Attempt, AttemptResponse} from './attempt.js';
import type {Destination} from './target-directory.js';
import type {TargetHealthMonitor} from './target-health-monitor.js';

const RETRY_AFTER_SECONDS = 1;
const CANCEL_TIMEOUT_MS = 1_000;

/** Options of an attempt client. */
export interface AttemptClientOptions {
  /** HTTP agent for the connections. */
  readonly agent: http.Agent;
  /** Receives the results of attempts. */
  readonly health: TargetHealthMonitor;
  /**
   * Called with the active settings revision of an agent and the agent's URL.
   */
  readonly onRevision: (revision: number, url: string) => void;
  /** Called with the latest changes of a target's prefix cache. */
  readonly onPrefixChanges?: (target: string, changes: PrefixChanges) => void;
}

/** Sends attempts to agents. */
export class AttemptClient {
  private readonly clockId = randomUUID();

  constructor(private readonly options: AttemptClientOptions) {}

  /**
   * Sends an attempt; resolves to the response once its headers have arrived,
   * or to the failure. A request that must not be repeated waits for the
   * agent's `100 Continue` before its body is sent, so that it is certain not
   * to have run before that.
   */
  send(attempt: Attempt): Promise<Result<AttemptResponse, Refusal>> {
    return new AttemptExchange(attempt, this.options, this.clockId).run();
  }

  /**
   * Tells an agent that the caller of an attempt has disconnected. A broken
   * connection alone does not show this, because the stream may be resumed. An
   * agent that does not receive the cancellation stops the attempt after the
   * resume window.
   */
  cancel(hop: Hop, destination: Destination): void {
    const timeout = new BoundedSignal({timeoutMs: CANCEL_TIMEOUT_MS});
    const request = openRequest({
      url: new URL('/', destination.url),
      method: 'POST',
      headers: createCancelHeaders(hop),
      agent: this.options.agent,
      signal: timeout.signal,
    });
    request.on('response', response => discardBody(response));
    request.on('error', () => {});
    request.on('close', () => timeout.dispose());
    request.end();
  }

  close(): void {
    this.options.agent.destroy();
  }
}

/** One attempt that is sent and its response. */
class AttemptExchange {
  private readonly bounded: BoundedSignal;
  private isAgentSilent = false;
  private hasConnected = false;
  private isBodySent = false;
  private message: IncomingMessage | undefined;

  constructor(
    private readonly attempt: Attempt,
    private readonly options: AttemptClientOptions,
    /** ID of the clock of this process's `performance.now()`. */
    private readonly clockId: string,
  ) {
    const {firstByteTimeoutMs, hop, signal} = attempt;
    this.bounded = new BoundedSignal({
      timeoutMs: Math.min(firstByteTimeoutMs, hop.budgetMs),
      parentSignals: [signal],
    });
  }

  run(): Promise<Result<AttemptResponse, Refusal>> {
    const {attempt, bounded} = this;
    const request = openRequest({
      url: urlForPath(attempt.destination.url, attempt.url),
      method: attempt.method,
      headers: createAttemptHeaders(attempt, {
        clock: this.clockId,
        atMs: performance.now(),
      }),
      agent: this.options.agent,
      signal: bounded.signal,
    });
    const stopWatching = this.options.health.watch({
      destination: attempt.destination,
      bytesRead: () => this.message?.socket.bytesRead ?? 0,
      onSilent: () => this.handleSilence(),
      onLost: () => this.abort(),
    });
    request.on('close', () => {
      stopWatching();
      bounded.dispose();
    });
    request.on('socket', socket => {
      this.hasConnected = !socket.connecting;
      // A reused socket never emits `connect` again, so a listener would keep
      // the attempt in memory.
      if (socket.connecting) {
        socket.once('connect', () => (this.hasConnected = true));
      }
    });
    const response = new Promise<Result<AttemptResponse, Refusal>>(resolve => {
      request.on('error', error =>
        resolve(Result.err(this.createFailure(error))),
      );
      request.on('response', message => {
        this.message = message;
        resolve(this.handleResponse(request, message));
      });
    });
    this.sendBody(request);
    return response.finally(() => bounded.cancelTimeout());
  }

  private sendBody(request: http.ClientRequest): void {
    const send = () => {
      if (!request.destroyed) {
        this.isBodySent = true;
        request.end(this.attempt.body);
      }
    };
    if (!waitsForContinue(this.attempt)) {
      send();
      return;
    }
    request.on('continue', () => {
      const {attempt, options} = this;
      options.health.recordSuccess(attempt.destination, performance.now());
      send();
    });
    request.flushHeaders();
  }

  /**
   * Aborts the attempt at a silent agent, unless the agent may already be
   * running a request that must not be repeated.
   */
  private handleSilence(): void {
    if (this.attempt.hop.repeatable || !this.isBodySent) {
      this.abort();
    }
  }

  private abort(): void {
    this.isAgentSilent = true;
    this.bounded.abort();
  }

  private async handleResponse(
    request: http.ClientRequest,
    message: IncomingMessage,
  ): Promise<Result<AttemptResponse, Refusal>> {
    this.options.health.recordSuccess(
      this.attempt.destination,
      performance.now(),
    );
    const revision = Number(message.headers[HOP_HEADERS.revision]);
    if (Number.isSafeInteger(revision)) {
      this.options.onRevision(revision, this.attempt.destination.url);
    }
    this.readPrefixChanges(message);
    const response = await parseResponse(this.attempt, message);
    if (response.isErr && !this.isBodySent) {
      request.destroy();
    }
    return response;
  }

  private readPrefixChanges(message: IncomingMessage): void {
    const text = message.headers[HOP_HEADERS.prefixChanges];
    const changes = parsePrefixChanges(text);
    if (changes !== undefined) {
      const {target} = this.attempt.destination;
      this.options.onPrefixChanges?.(target, changes);
    }
  }

  private createFailure(error: Error): Refusal {
    const {attempt, bounded, hasConnected, isAgentSilent} = this;
    const mayHaveRun = this.isBodySent && hasConnected;
    const outcome = mayHaveRun ? 'unknown' : 'not-run';
    if (bounded.hasTimedOut) {
      const message = 'the target did not respond in time';
      return createRefusal(outcome, 504, 'no_answer_in_time', message);
    }
    if (isAgentSilent) {
      const message = 'the agent does not respond';
      return createRefusal(
        outcome,
        mayHaveRun ? 502 : 503,
        'agent_silent',
        message,
      );
    }
    if (!attempt.signal.aborted) {
      const evidence = hasConnected ? 'broken' : 'connect-failed';
      this.options.health.recordFailure(
        attempt.destination,
        evidence,
        performance.now(),
      );
    }
    return mayHaveRun
      ? createRefusal(outcome, 502, 'link_broke_off', error.message)
      : createRefusal(outcome, 503, 'agent_unreachable', error.message);
  }
}

function createRefusal(
  outcome: RefusalOutcome,
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal(outcome, status, reason, message, RETRY_AFTER_SECONDS);
}

async function parseResponse(
  attempt: Attempt,
  message: IncomingMessage,
): Promise<Result<AttemptResponse, Refusal>> {
  const {hop, method, resumeAfter} = attempt;
  const agentRefusal = await readAgentRefusal(message);
  if (agentRefusal !== undefined) {
    return Result.err(agentRefusal);
  }
  const resumed = message.headers[HOP_HEADERS.resumeAfter];
  const isMismatched =
    message.headers[HOP_HEADERS.request] !== hop.request ||
    message.headers[HOP_HEADERS.attempt] !== String(hop.attempt) ||
    resumed !== resumeAfter?.toString();
  if (isMismatched) {
    message.destroy();
    const text = 'the response belongs to another request';
    return Result.err(createRefusal('unknown', 502, 'crossed_answer', text));
  }
  return Result.ok({hop, method, message});
}
