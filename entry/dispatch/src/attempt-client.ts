import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {openRequest, urlForPath} from '@marigoldspur/http-link';
import {
  HOP_HEADERS,
  parsePrefixChanges,
  type Hop,
  type PrefixChanges,
} from '@marigoldspur/messages';
import {readAgentRefusal} from './agent-refusal.js';
import {
  attemptHeaders,
  cancelHeaders,
  waitsForContinue,
} from './attempt-headers.js';
import type {Attempt, AttemptResponse} from './attempt.js';
import type {Destination} from './target-directory.js';
import type {TargetHealthMonitor} from './target-health-monitor.js';

const RETRY_SOON_SECONDS = 1;
const CANCEL_TIMEOUT_MS = 1_000;

/** What an attempt client works with. */
export interface AttemptClientOptions {
  /** Makes the connections. */
  readonly agent: http.Agent;
  /** Is told what attempts see. */
  readonly health: TargetHealthMonitor;
  /** Is told the settings revision in force at an agent, and the agent's URL. */
  readonly onRevision: (revision: number, url: string) => void;
  /** Is told the latest changes of a target's prefix cache. */
  readonly onPrefixChanges?: (target: string, changes: PrefixChanges) => void;
}

/** Sends attempts to agents. */
export class AttemptClient {
  private readonly clock = randomUUID();

  constructor(private readonly options: AttemptClientOptions) {}

  /**
   * Sends an attempt; resolves with the head of the answer or with what is known of
   * the failure. A request that may not be repeated waits for the agent's `100
   * Continue` before its body goes out, so that it provably did not run until then.
   */
  send(attempt: Attempt): Promise<Result<AttemptResponse, Refusal>> {
    return new AttemptExchange(attempt, this.options, this.clock).run();
  }

  /**
   * Tells an agent that the caller of an attempt went away. A link that ends does not
   * say so, since its stream may be resumed; an agent that can't be told stops the
   * attempt once the time for a resume is over.
   */
  cancel(hop: Hop, destination: Destination): void {
    const bounded = new BoundedSignal({timeoutMs: CANCEL_TIMEOUT_MS});
    const call = openRequest({
      url: new URL('/', destination.url),
      method: 'POST',
      headers: cancelHeaders(hop),
      agent: this.options.agent,
      signal: bounded.signal,
    });
    call.on('response', answer => answer.resume());
    call.on('error', () => {});
    call.on('close', () => bounded.dispose());
    call.end();
  }

  /** Closes all connections. */
  close(): void {
    this.options.agent.destroy();
  }
}

/** One attempt on its way. */
class AttemptExchange {
  private readonly bounded: BoundedSignal;
  private silent = false;
  private connected = false;
  private bodySent = false;
  private message: IncomingMessage | undefined;

  constructor(
    private readonly attempt: Attempt,
    private readonly options: AttemptClientOptions,
    /** Identity of this process's `performance.now()`. */
    private readonly clock: string,
  ) {
    const {firstByteTimeoutMs, hop, signal} = attempt;
    this.bounded = new BoundedSignal({
      timeoutMs: Math.min(firstByteTimeoutMs, hop.budgetMs),
      parentSignals: [signal],
    });
  }

  run(): Promise<Result<AttemptResponse, Refusal>> {
    const {attempt, bounded} = this;
    const call = openRequest({
      url: urlForPath(attempt.destination.url, attempt.url),
      method: attempt.method,
      headers: attemptHeaders(attempt, {
        clock: this.clock,
        atMs: performance.now(),
      }),
      agent: this.options.agent,
      signal: bounded.signal,
    });
    const endWatch = this.options.health.watch({
      destination: attempt.destination,
      bytesRead: () => this.message?.socket.bytesRead ?? 0,
      onSilent: () => this.leaveSilent(),
      onLost: () => this.giveUp(),
    });
    call.on('close', () => {
      endWatch();
      bounded.dispose();
    });
    call.on('socket', socket => {
      this.connected = !socket.connecting;
      // A kept-alive socket never connects again, and would hold the attempt for good.
      if (socket.connecting) {
        socket.once('connect', () => (this.connected = true));
      }
    });
    const answered = new Promise<Result<AttemptResponse, Refusal>>(resolve => {
      call.on('error', error => resolve(Result.err(this.failure(error))));
      call.on('response', message => {
        this.message = message;
        resolve(this.readAnswer(call, message));
      });
    });
    this.sendBody(call);
    return answered.finally(() => bounded.cancelTimeout());
  }

  private sendBody(call: http.ClientRequest): void {
    const send = () => {
      if (!call.destroyed) {
        this.bodySent = true;
        call.end(this.attempt.body);
      }
    };
    if (!waitsForContinue(this.attempt)) {
      send();
      return;
    }
    call.on('continue', () => {
      const {attempt, options} = this;
      options.health.recordSuccess(attempt.destination, performance.now());
      send();
    });
    call.flushHeaders();
  }

  /** Leaves a silent agent, but not yet one that may be running what may not be repeated. */
  private leaveSilent(): void {
    if (this.attempt.hop.repeatable || !this.bodySent) {
      this.giveUp();
    }
  }

  private giveUp(): void {
    this.silent = true;
    this.bounded.abort();
  }

  private async readAnswer(
    call: http.ClientRequest,
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
    const answer = await readHead(this.attempt, message);
    if (answer.isErr && !this.bodySent) {
      call.destroy();
    }
    return answer;
  }

  private readPrefixChanges(message: IncomingMessage): void {
    const text = message.headers[HOP_HEADERS.prefixChanges];
    const changes = parsePrefixChanges(text);
    if (changes !== undefined) {
      const {target} = this.attempt.destination;
      this.options.onPrefixChanges?.(target, changes);
    }
  }

  private failure(error: Error): Refusal {
    const {attempt, bounded, connected, silent} = this;
    const reached = this.bodySent && connected;
    const outcome = reached ? 'unknown' : 'not-run';
    if (bounded.hasTimedOut) {
      const message = 'the target did not answer in time';
      return refusal(outcome, 504, 'no_answer_in_time', message);
    }
    if (silent) {
      const message = 'the agent does not answer';
      return refusal(outcome, reached ? 502 : 503, 'agent_silent', message);
    }
    if (!attempt.signal.aborted) {
      const evidence = connected ? 'broken' : 'connect-failed';
      this.options.health.recordFailure(
        attempt.destination,
        evidence,
        performance.now(),
      );
    }
    return reached
      ? refusal(outcome, 502, 'link_broke_off', error.message)
      : refusal(outcome, 503, 'agent_unreachable', error.message);
  }
}

function refusal(
  outcome: RefusalOutcome,
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal(outcome, status, reason, message, RETRY_SOON_SECONDS);
}

async function readHead(
  attempt: Attempt,
  message: IncomingMessage,
): Promise<Result<AttemptResponse, Refusal>> {
  const {hop, method, resumeAfter} = attempt;
  const refused = await readAgentRefusal(message);
  if (refused !== undefined) {
    return Result.err(refused);
  }
  const resumed = message.headers[HOP_HEADERS.resumeAfter];
  const crossed =
    message.headers[HOP_HEADERS.request] !== hop.request ||
    message.headers[HOP_HEADERS.attempt] !== String(hop.attempt) ||
    resumed !== resumeAfter?.toString();
  if (crossed) {
    message.destroy();
    const text = 'the answer belongs to another request';
    return Result.err(refusal('unknown', 502, 'crossed_answer', text));
  }
  return Result.ok({hop, method, message});
}
