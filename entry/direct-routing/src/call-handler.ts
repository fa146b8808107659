import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {
  BoundedSignal,
  createDisconnectSignal,
  unlessAborted,
} from '@marigoldspur/abort-signals';
import {
  DEFAULT_MAX_BODY_BYTES,
  type Route,
  type Service,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal, toFault} from '@marigoldspur/faults';
import {findInvalidHeader, readBody} from '@marigoldspur/http-link';
import {chooseBackend, type RouteTable} from '@marigoldspur/routes';
import type {CallRunner} from './call-runner.js';
import {createShuttingDownRefusal} from './shutting-down-refusal.js';
import {createLazyFingerprint} from './request-fingerprint.js';
import type {CallMetadata, WireFormat} from './wire-format.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';

/** Options of a call handler. */
export interface CallHandlerOptions {
  /** The active routes; undefined until a deployment is known. */
  readonly routes: () => RouteTable | undefined;
  /** Whether the process has enough time left to serve a new call. */
  readonly acceptsCalls: () => boolean;
  /** Aborts shortly before the process ends; calls that have not ended by then are given up. */
  readonly shutdownSignal: AbortSignal;
  readonly wireFormat: WireFormat;
  readonly runner: CallRunner;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** The route of a call and the service chosen from its backends. */
interface ResolvedRoute {
  readonly route: Route;
  readonly service: Service;
}

/**
 * Retry delay for callers while no deployment is known, in seconds; it is known
 * within a second after the start.
 */
const NOT_READY_RETRY_AFTER_SECONDS = 1;

/**
 * Handles callers' calls, from routing to the complete response or a refusal.
 */
export class CallHandler {
  private runningCalls = 0;

  constructor(private readonly options: CallHandlerOptions) {}

  /** Number of calls that run or wait. */
  get runningCount(): number {
    return this.runningCalls;
  }

  /** Handles one call that arrived at `startedAt`, in milliseconds, at the earliest. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    startedAt: number,
  ): Promise<void> {
    const {wireFormat} = this.options;
    const metadata = wireFormat.parseCallHeaders(request.headers);
    this.options.metrics.setRunning((this.runningCalls += 1));
    response.sendDate = false;
    try {
      const refusal = await this.serve(metadata, startedAt, request, response);
      if (refusal !== undefined) {
        this.refuse(response, metadata, refusal);
      }
    } catch (thrown) {
      const {message} = toFault(thrown);
      this.options.events.record('request-error', {message}, metadata.id);
      this.refuse(response, metadata, createInternalErrorRefusal());
    } finally {
      this.options.metrics.setRunning((this.runningCalls -= 1));
    }
  }

  /** Serves a call; returns a refusal if one remains to be sent. */
  private async serve(
    metadata: CallMetadata,
    startedAt: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Refusal | undefined> {
    const disconnectSignal = createDisconnectSignal(response);
    const invalid = findInvalidHeader(request.headers);
    if (invalid !== undefined) {
      request.resume();
      response.setHeader('connection', 'close');
      return createNotRunRefusal(400, 'invalid_header', invalid);
    }
    const resolved = this.resolveRoute(metadata, request);
    if (resolved.isErr) {
      request.resume();
      return resolved.error;
    }
    const {route, service} = resolved.value;
    const body = await unlessAborted(
      readBody(request, this.maxBodyBytes()),
      this.options.shutdownSignal,
    );
    if (body === undefined || !this.options.acceptsCalls()) {
      response.setHeader('connection', 'close');
      return createShuttingDownRefusal();
    }
    if (body.isErr) {
      response.setHeader('connection', 'close');
      return body.error.code === 'TOO_LARGE'
        ? createNotRunRefusal(413, 'body_too_large', body.error.message)
        : createNotRunRefusal(400, 'body_broke_off', body.error.message);
    }
    const bounded = new BoundedSignal({
      timeoutMs: route.timeoutMs - (performance.now() - startedAt),
      parentSignals: [disconnectSignal, this.options.shutdownSignal],
    });
    const call = {
      metadata,
      startedAt,
      route,
      service,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      body: body.value,
      fingerprint: createLazyFingerprint({
        method: request.method ?? 'GET',
        host: request.headers.host ?? '',
        path: request.url ?? '/',
        credentials: metadata.credentials,
        body: body.value,
      }),
      signal: bounded.signal,
      hasCallerDisconnected: () => disconnectSignal.aborted,
    };
    const {resumeAfter = 0, resumes} = metadata;
    if (route.streaming && resumeAfter > 0) {
      const details = {resumes: resumes ?? '', after: resumeAfter};
      this.options.events.record('stream-taken-up', details, metadata.id);
    }
    const result = await this.options.runner
      .run(call, response)
      .finally(() => bounded.dispose());
    return result.isErr ? result.error : undefined;
  }

  private resolveRoute(
    metadata: CallMetadata,
    request: IncomingMessage,
  ): Result<ResolvedRoute, Refusal> {
    const routes = this.options.routes();
    if (routes === undefined) {
      return Result.err(createNotReadyRefusal());
    }
    if (!this.options.acceptsCalls()) {
      return Result.err(createShuttingDownRefusal());
    }
    const {headers, url = '/'} = request;
    const route = routes.findRoute(headers.host ?? '', url);
    if (route === undefined) {
      const message = `no route for host "${headers.host}" and path "${url}"`;
      return Result.err(createNotRunRefusal(404, 'unknown_route', message));
    }
    const service = routes.findService(
      chooseBackend(route, metadata.resumes ?? metadata.id),
    );
    return service === undefined
      ? Result.err(createNotReadyRefusal())
      : Result.ok({route, service});
  }

  private maxBodyBytes(): number {
    const limits = this.options.routes()?.deployment.limits;
    return limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  private refuse(
    response: ServerResponse,
    metadata: CallMetadata,
    refusal: Refusal,
  ): void {
    const {message, outcome, reason, status} = refusal;
    const isDisconnected = response.destroyed;
    const details = {
      reason,
      message,
      outcome,
      status,
      callerGone: isDisconnected,
    };
    this.options.events.record('call-refused', details, metadata.id);
    this.options.metrics.recordRefusal(reason);
    if (isDisconnected || response.headersSent) {
      response.destroy();
      return;
    }
    const body = JSON.stringify({error: {message, reason, outcome}});
    const {wireFormat} = this.options;
    const headers = wireFormat.refusalHeaders(metadata.id, refusal);
    const isValid = findInvalidHeader(headers) === undefined;
    response.writeHead(status, {
      // An ID that cannot be sent back is left out.
      ...(isValid ? headers : wireFormat.refusalHeaders('', refusal)),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

function createNotRunRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('not-run', status, reason, message);
}

function createNotReadyRefusal(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'not_ready',
    'the entry has not received a deployment yet',
    NOT_READY_RETRY_AFTER_SECONDS,
  );
}

function createInternalErrorRefusal(): Refusal {
  return new Refusal(
    'unknown',
    500,
    'internal_error',
    'the entry failed to handle the call',
  );
}
