import http from 'node:http';
import type {Socket} from 'node:net';
import {Result} from 'true-myth';
import {MAX_TIMER_MS} from '@marigoldspur/abort-signals';
import {
  Refusal,
  toFault,
  type Fault,
  type RefusalOutcome,
} from '@marigoldspur/faults';
import type {UpstreamResponse} from '@marigoldspur/dispatch';
import type {RequestBody} from '@marigoldspur/request-bodies';
import {guard} from '@marigoldspur/fault-guard';
import {
  detectReset,
  findInvalidHead,
  framingOf,
  limitResponseHead,
  TargetHttpAgent,
} from '@marigoldspur/http-link';
import {afterPoll} from '@marigoldspur/loop-clock';
import type {ResponseMetadata, WireFormat} from './wire-format.js';

/** A call to one target. */
export interface TargetCall {
  /** ID that the caller gave the call. */
  readonly id: string;
  /** Address of the target, `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Returns the headers for a call that is sent at time `now`, in milliseconds. */
  readonly headers: (now: number) => http.OutgoingHttpHeaders;
  readonly body: Pick<RequestBody, 'pieces' | 'use'>;
  /**
   * Whether the call may still be sent at time `now`, in milliseconds: its caller waits for a
   * response, its key permits it, and the units of its tenant's quota have not expired.
   */
  readonly isAwaited: (now: number) => boolean;
  /** Aborts the call. */
  readonly signal: AbortSignal;
  /** Timeout for the response headers, in milliseconds. */
  readonly responseHeaderTimeoutMs: number;
}

/** A target's response whose body is still to be read. */
export interface TargetResponse extends UpstreamResponse {
  readonly metadata: ResponseMetadata;
  /**
   * Whether the response comes from the announced start of the target; absent if that does not
   * matter.
   */
  readonly isAnnouncedStart?: Promise<boolean>;
}

/** Why a target gave no usable response. */
export interface TargetFailure {
  readonly kind:
    | 'invalid'
    | 'connect'
    | 'silent'
    | 'broken'
    | 'crossed'
    | 'replaced'
    | 'ended';
  /** Whether the call may have run at the target. */
  readonly outcome: RefusalOutcome;
  readonly message: string;
  /** The refusal for the caller if the call was not sent because of its key or its quota. */
  readonly denial?: Refusal;
}

/**
 * Connect timeout, in milliseconds. Connections within a region take
 * milliseconds, while a lost first packet is resent only after a second.
 */
const CONNECT_TIMEOUT_MS = 600;
/** Time that a target has after its response to read the rest of the request, in milliseconds. */
const UNREAD_BODY_TIMEOUT_MS = 2_000;
const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Sends calls to targets and parses the headers of their responses. */
export class TargetClient {
  private readonly agent = new TargetHttpAgent();
  /**
   * Opens a connection per call, for calls whose earlier refusal might come again
   * on a kept one.
   */
  private readonly singleUseAgent = new TargetHttpAgent({keepAlive: false});

  constructor(private readonly wireFormat: WireFormat) {}

  /**
   * Sends a call; resolves to the response once its headers have arrived, or to
   * the failure.
   */
  send(call: TargetCall): Promise<Result<TargetResponse, TargetFailure>> {
    const [host, port] = call.address.split(':');
    const isRepeated = this.agent.hasRefused({host, port}, call.id);
    return new TargetExchange(
      call,
      isRepeated ? this.singleUseAgent : this.agent,
      this.wireFormat,
      connection => this.agent.recordRefusal(connection, call.id),
    ).run();
  }

  close(): void {
    this.agent.destroy();
    this.singleUseAgent.destroy();
  }
}

/** One call that is sent to a target, and its response. */
class TargetExchange {
  /** Whether the call may have reached the target. */
  private hasSent = false;
  private timer: NodeJS.Timeout | undefined;
  private failure: TargetFailure['kind'] | undefined;
  private isConnectionBroken = false;

  constructor(
    private readonly call: TargetCall,
    private readonly agent: http.Agent,
    private readonly wireFormat: WireFormat,
    /** Called with the connection over which the call was refused. */
    private readonly onRefusal: (connection: Socket) => void,
  ) {}

  run(): Promise<Result<TargetResponse, TargetFailure>> {
    const {call} = this;
    const opened = this.open();
    if (opened.isErr) {
      return Promise.resolve(Result.err(opened.error));
    }
    const request = opened.value;
    const abort = () => this.abort(request, 'ended');
    call.signal.addEventListener('abort', abort, {once: true});
    request.on('close', () => {
      clearTimeout(this.timer);
      call.signal.removeEventListener('abort', abort);
    });
    const onFault = ({message}: Fault) => this.fail(request, message);
    request.on(
      'socket',
      guard(socket => this.watchConnection(request, socket), {onFault}),
    );
    limitResponseHead(request, () => this.abort(request, 'broken'));
    const response = new Promise<Result<TargetResponse, TargetFailure>>(
      resolve => {
        request.on('error', error => {
          this.isConnectionBroken = true;
          resolve(Result.err(this.createFailure(error.message)));
        });
        // Without a response, as after a change of protocols, there may be no error.
        request.on('close', () =>
          resolve(Result.err(this.createFailure('no response came'))),
        );
        request.on(
          'response',
          guard(
            message => {
              clearTimeout(this.timer);
              // What has arrived with the head waits in the connection until it is read.
              message.socket.pause();
              resolve(this.readResponse(request, message));
            },
            {
              onFault: fault => {
                onFault(fault);
                resolve(Result.err(this.createFailure(fault.message)));
              },
            },
          ),
        );
      },
    );
    if (call.signal.aborted) {
      abort();
    }
    return response;
  }

  /** Opens the request; fails if the address or the path cannot be used. */
  private open(): Result<http.ClientRequest, TargetFailure> {
    const {address, method, path} = this.call;
    const [host, port] = address.split(':');
    try {
      return Result.ok(
        http.request({
          host,
          port,
          method,
          path,
          agent: this.agent,
          setHost: false,
        }),
      );
    } catch (thrown) {
      const {message} = toFault(thrown);
      return Result.err({kind: 'invalid', outcome: 'not-run', message});
    }
  }

  private watchConnection(request: http.ClientRequest, socket: Socket): void {
    const send = guard(() => this.sendIfAwaited(request), {
      onFault: ({message}) => this.fail(request, message),
    });
    if (!socket.connecting) {
      send();
      return;
    }
    this.timer = setTimeout(
      () => this.abort(request, 'connect'),
      Math.min(CONNECT_TIMEOUT_MS, this.call.responseHeaderTimeoutMs),
    );
    socket.once('connect', send);
  }

  /** Sends the call over its connection unless the caller has left or waited too long meanwhile. */
  private async sendIfAwaited(request: http.ClientRequest): Promise<void> {
    const {body, headers, isAwaited, responseHeaderTimeoutMs} = this.call;
    await afterPoll();
    const now = performance.now();
    if (request.destroyed) {
      return;
    }
    if (!isAwaited(now)) {
      this.abort(request, 'ended');
      return;
    }
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.abort(request, 'silent'),
      Math.min(MAX_TIMER_MS, responseHeaderTimeoutMs),
    );
    Object.entries(headers(now)).forEach(
      ([name, value]) => value !== undefined && request.setHeader(name, value),
    );
    this.hasSent = true;
    request.once('close', body.use());
    body.pieces.forEach(piece => request.write(piece));
    request.end();
  }

  /** Ends the call after an unexpected error; one that was not sent cannot be sent to this target. */
  private fail(request: http.ClientRequest, message: string): void {
    this.failure ??= this.hasSent ? 'broken' : 'invalid';
    this.abort(request, this.failure, message);
  }

  /** Resets the connection, so that nothing more of the call is delivered. */
  private abort(
    request: http.ClientRequest,
    failure: TargetFailure['kind'],
    message: string = failure,
  ): void {
    this.failure ??= failure;
    request.socket?.resetAndDestroy();
    request.destroy(new Error(message));
  }

  private createFailure(message: string): TargetFailure {
    const kind = this.failure ?? (this.hasSent ? 'broken' : 'connect');
    return {kind, outcome: this.hasSent ? 'unknown' : 'not-run', message};
  }

  /** Closes the connection of a response that must not be used. */
  private reject(
    request: http.ClientRequest,
    message: http.IncomingMessage,
    kind: TargetFailure['kind'],
    reason: string,
  ): Result<TargetResponse, TargetFailure> {
    request.on('error', () => {});
    message.on('error', () => {});
    this.abort(request, kind);
    const outcome = this.hasSent ? 'unknown' : 'not-run';
    return Result.err({kind, outcome, message: reason});
  }

  private readResponse(
    request: http.ClientRequest,
    message: http.IncomingMessage,
  ): Result<TargetResponse, TargetFailure> {
    const {id, method} = this.call;
    if (!this.hasSent) {
      const reason = 'a response arrived before the call was sent';
      return this.reject(request, message, 'crossed', reason);
    }
    const invalid = findInvalidHead(message);
    if (invalid !== undefined) {
      return this.reject(request, message, 'broken', invalid);
    }
    const metadata = this.wireFormat.parseResponseHeaders(message, id);
    if (!metadata.matchesCallId) {
      const reason = 'the response belongs to another call';
      return this.reject(request, message, 'crossed', reason);
    }
    if (isSuccess(message.statusCode) && !metadata.isAttested) {
      const reason = 'the target does not attest that the response is its own';
      return this.reject(request, message, 'broken', reason);
    }
    if (metadata.hasNotRun) {
      this.onRefusal(message.socket);
    }
    if (framingOf(message, method) === 'close') {
      detectReset(message.socket, () => (this.isConnectionBroken = true));
    }
    message.once('close', () => closeUnread(request));
    return Result.ok({
      metadata,
      method,
      message,
      isConnectionBroken: () => this.isConnectionBroken,
    });
  }
}

/** Closes the connection of a request whose body is not read soon after its response has ended. */
function closeUnread(request: http.ClientRequest): void {
  if (!request.writableFinished && !request.destroyed) {
    const timer = setTimeout(() => request.destroy(), UNREAD_BODY_TIMEOUT_MS);
    request.once('close', () => clearTimeout(timer));
  }
}

/** Whether a status says that the call ran to a good end. */
export function isSuccess(status = 0): boolean {
  return status >= STATUS_OK && status < STATUS_REDIRECT;
}

/** The refusal that the caller gets for a final failure. */
export function createRefusalForFailure(failure: TargetFailure): Refusal {
  const {kind, outcome, message} = failure;
  const reason = `target_${kind}`;
  if (outcome === 'not-run') {
    return new Refusal(outcome, 503, reason, message, RETRY_AFTER_SECONDS);
  }
  return new Refusal(outcome, kind === 'silent' ? 504 : 502, reason, message);
}

/**
 * Retry delay for refused callers, in seconds. Another entry or target can be
 * found immediately.
 */
const RETRY_AFTER_SECONDS = 0.3;
