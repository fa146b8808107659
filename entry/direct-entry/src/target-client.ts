import http from 'node:http';
import type {Socket} from 'node:net';
import {Result} from 'true-myth';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import type {UpstreamResponse} from '@marigoldspur/dispatch';
import type {ResponseMetadata, WireFormat} from './wire-format.js';
import {TargetHttpAgent} from './target-http-agent.js';

/** A call on its way to one target. */
export interface TargetCall {
  /** Identity that the caller gave the call. */
  readonly id: string;
  /** Where the target is reached, `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body: Buffer;
  /** Ends the call. */
  readonly signal: AbortSignal;
  /** Longest time until the head of the answer, in milliseconds. */
  readonly responseHeaderTimeoutMs: number;
}

/** The beginning of a target's answer. */
export interface TargetResponse extends UpstreamResponse {
  readonly head: ResponseMetadata;
}

/** Why a target gave no answer that can be used. */
export interface TargetFailure {
  readonly kind: 'connect' | 'silent' | 'broken' | 'crossed' | 'ended';
  /** Whether the call may have reached the target. */
  readonly outcome: RefusalOutcome;
  readonly message: string;
}

/** Machines of one region connect within milliseconds; a lost first packet is sent again after a second. */
const CONNECT_TIMEOUT_MS = 600;

/** Sends calls to targets and reads the heads of their answers. */
export class TargetClient {
  private readonly agent = new TargetHttpAgent();

  constructor(private readonly dialect: WireFormat) {}

  /** Sends a call; resolves with the head of the answer, or with what is known of the failure. */
  send(call: TargetCall): Promise<Result<TargetResponse, TargetFailure>> {
    return new TargetExchange(call, this.agent, this.dialect).run();
  }

  close(): void {
    this.agent.destroy();
  }
}

class TargetExchange {
  private connected = false;
  private timer: NodeJS.Timeout | undefined;
  private failure: TargetFailure['kind'] | undefined;
  private broke = false;

  constructor(
    private readonly call: TargetCall,
    private readonly agent: http.Agent,
    private readonly dialect: WireFormat,
  ) {}

  run(): Promise<Result<TargetResponse, TargetFailure>> {
    const {call} = this;
    const [host, port] = call.address.split(':');
    const request = http.request({
      host,
      port,
      method: call.method,
      path: call.path,
      headers: call.headers,
      agent: this.agent,
      setHost: false,
    });
    const end = () => this.end(request, 'ended');
    call.signal.addEventListener('abort', end, {once: true});
    request.on('close', () => {
      clearTimeout(this.timer);
      call.signal.removeEventListener('abort', end);
    });
    request.on('socket', socket => this.watchConnect(request, socket));
    const answered = new Promise<Result<TargetResponse, TargetFailure>>(
      resolve => {
        request.on('error', error => {
          this.broke = true;
          resolve(Result.err(this.failed(error.message)));
        });
        request.on('response', message => {
          clearTimeout(this.timer);
          resolve(this.readHead(request, message));
        });
      },
    );
    if (call.signal.aborted) {
      end();
    } else {
      request.end(call.body);
    }
    return answered;
  }

  private watchConnect(request: http.ClientRequest, socket: Socket): void {
    const {responseHeaderTimeoutMs: headTimeoutMs} = this.call;
    const awaitHead = () => {
      this.connected = true;
      clearTimeout(this.timer);
      this.timer = setTimeout(() => this.end(request, 'silent'), headTimeoutMs);
    };
    if (!socket.connecting) {
      awaitHead();
      return;
    }
    this.timer = setTimeout(
      () => this.end(request, 'connect'),
      Math.min(CONNECT_TIMEOUT_MS, headTimeoutMs),
    );
    socket.once('connect', awaitHead);
  }

  /** Resets the connection, so that nothing of the call is delivered any more. */
  private end(
    request: http.ClientRequest,
    failure: TargetFailure['kind'],
  ): void {
    this.failure ??= failure;
    request.socket?.resetAndDestroy();
    request.destroy(new Error(failure));
  }

  private failed(message: string): TargetFailure {
    const kind = this.failure ?? (this.connected ? 'broken' : 'connect');
    return {kind, outcome: this.connected ? 'unknown' : 'not-run', message};
  }

  private readHead(
    request: http.ClientRequest,
    message: http.IncomingMessage,
  ): Result<TargetResponse, TargetFailure> {
    const {id, method} = this.call;
    const head = this.dialect.parseResponseHeaders(message, id);
    if (!head.matchesCallId) {
      request.on('error', () => {});
      message.on('error', () => {});
      this.end(request, 'crossed');
      return Result.err({
        kind: 'crossed',
        outcome: 'unknown',
        message: 'the answer belongs to another call',
      });
    }
    return Result.ok({
      head,
      method,
      message,
      connectionBroke: () => this.broke,
    });
  }
}

/** The refusal that a caller gets after a failure that is final. */
export function refusalForFailure(failure: TargetFailure): Refusal {
  const {kind, outcome, message} = failure;
  const reason = `target_${kind}`;
  if (outcome === 'not-run') {
    return new Refusal(outcome, 503, reason, message, RETRY_SOON_SECONDS);
  }
  return new Refusal(outcome, kind === 'silent' ? 504 : 502, reason, message);
}

/** A refused caller finds another entry or another target at once, in seconds. */
const RETRY_SOON_SECONDS = 0.3;
