import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {
  BoundedSignal,
  createDisconnectSignal,
} from '@marigoldspur/abort-signals';
import type {CallAccess, TenantGate} from '@marigoldspur/caller-tenants';
import {
  DEFAULT_MAX_BODY_BYTES,
  type Route,
  type Service,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal, toFault} from '@marigoldspur/faults';
import {findInvalidHeader} from '@marigoldspur/http-link';
import {REQUEST_OBJECTS, type MemoryBudget} from '@marigoldspur/memory-budget';
import {
  discardRest,
  type BodyFailure,
  type BodyReader,
} from '@marigoldspur/request-bodies';
import {chooseBackend, type RouteTable} from '@marigoldspur/routes';
import type {CallRunner} from './call-runner.js';
import type {Call} from './call.js';
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
  /** Decides by their keys which calls are served. */
  readonly tenants: Pick<TenantGate, 'admit'>;
  /** Reads the bodies of calls. */
  readonly bodies: Pick<BodyReader, 'read'>;
  readonly memory: Pick<MemoryBudget, 'reserve'>;
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
/** Retry delay for callers while too many calls are in progress, in seconds. */
const FULL_RETRY_AFTER_SECONDS = 1;
/** Memory that a call takes besides its body and its response, in bytes. */
const CALL_BYTES = 16_384;
/**
 * Memory that a call holds for its response from the start, in bytes, so that a short response of
 * a call that has run does not fail for want of memory.
 */
const RESPONSE_BYTES = 4_096;

/** Maximum length of a header's value in a refusal, in characters. */
const MAX_QUOTED_LENGTH = 64;

/** A call whose body has not been read. */
type Arrival = Pick<Call, 'metadata' | 'responseMemory' | 'startedAt'>;

/** How the body of a call ended that is refused. */
interface BodyEnd {
  /** Why it was not read; undefined if it was. */
  readonly failure: BodyFailure | undefined;
  /** Whether the route's timeout ended the read. */
  readonly hasTimedOut: boolean;
}

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
    const {memory} = this.options;
    const callMemory = memory.reserve(REQUEST_OBJECTS, CALL_BYTES);
    const responseMemory = memory.reserve('response', RESPONSE_BYTES);
    try {
      const refusal =
        callMemory === undefined || responseMemory === undefined
          ? refuseUnread(request, createFullRefusal())
          : await this.serve(
              {metadata, startedAt, responseMemory},
              request,
              response,
            );
      if (refusal !== undefined) {
        this.refuse(response, metadata, refusal);
      }
    } catch (thrown) {
      const {message} = toFault(thrown);
      this.options.events.record('request-error', {message}, metadata.id);
      this.refuse(response, metadata, createInternalErrorRefusal());
    } finally {
      callMemory?.release();
      responseMemory?.release();
      this.options.metrics.setRunning((this.runningCalls -= 1));
    }
  }

  /** Serves a call; returns a refusal if one remains to be sent. */
  private async serve(
    {metadata: received, responseMemory, startedAt}: Arrival,
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
    const resolved = this.resolveRoute(received, request);
    if (resolved.isErr) {
      return refuseUnread(request, resolved.error);
    }
    const {route, service} = resolved.value;
    const unreadable = findUnreadableHeader(received, route);
    if (unreadable !== undefined) {
      return refuseUnread(request, unreadable);
    }
    const access = this.options.tenants.admit(received.key, route);
    const denial = access.findRefusal();
    if (denial !== undefined) {
      return refuseUnread(request, denial);
    }
    const {tenant} = access;
    const metadata = hideKey(received, access);
    const bounded = new BoundedSignal({
      timeoutMs: route.timeoutMs - (performance.now() - startedAt),
      parentSignals: [disconnectSignal, this.options.shutdownSignal],
    });
    const body = await this.options.bodies.read({
      request,
      maxBytes: this.maxBodyBytes(),
      signal: bounded.signal,
    });
    if (body.isErr || !this.options.acceptsCalls()) {
      bounded.dispose();
      body.map(unused => unused.release());
      return this.refuseBody(request, response, {
        failure: body.isErr ? body.error : undefined,
        hasTimedOut: bounded.hasTimedOut,
      });
    }
    const call = {
      metadata,
      startedAt,
      route,
      service,
      tenant,
      access,
      routes: this.options.routes(),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      body: body.value,
      responseMemory,
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
    const {resumeAfter, resumes} = metadata;
    if (route.streaming && resumeAfter !== undefined) {
      const details = {resumes: resumes ?? '', after: resumeAfter};
      this.options.events.record('stream-taken-up', details, metadata.id);
    }
    try {
      const result = await this.options.runner.run(call, response);
      return result.isErr ? result.error : undefined;
    } finally {
      bounded.dispose();
      body.value.release();
    }
  }

  /** Returns the refusal of a call whose body was not read, or read too late. */
  private refuseBody(
    request: IncomingMessage,
    response: ServerResponse,
    {failure, hasTimedOut}: BodyEnd,
  ): Refusal {
    if (failure?.code === 'FULL') {
      return refuseUnread(request, createFullRefusal(failure));
    }
    if (failure?.code === 'TOO_LARGE') {
      const {message} = failure;
      return refuseUnread(
        request,
        createNotRunRefusal(413, 'body_too_large', message),
      );
    }
    response.setHeader('connection', 'close');
    if (failure === undefined || this.options.shutdownSignal.aborted) {
      return createShuttingDownRefusal();
    }
    if (hasTimedOut) {
      const message = 'the body was not complete at the timeout of the route';
      return createNotRunRefusal(408, 'body_late', message);
    }
    return failure.code === 'STALLED'
      ? createNotRunRefusal(408, 'body_stalled', failure.message)
      : createNotRunRefusal(400, 'body_broke_off', failure.message);
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

/** Replaces the key of a call by the name of its tenant, where there are tenants. */
function hideKey(
  metadata: CallMetadata,
  {hidesKey, tenant}: CallAccess,
): CallMetadata {
  const {credentials, key, ...rest} = metadata;
  const isKey = hidesKey && key !== undefined;
  return {...rest, credentials: isKey ? tenant?.name : credentials};
}

/** Has the rest of a refused call read and dropped; returns the refusal. */
function refuseUnread(request: IncomingMessage, refusal: Refusal): Refusal {
  discardRest(request, true);
  return refusal;
}

/** Refuses a call that would become another one without a header that can't be read. */
function findUnreadableHeader(
  {invalidDeadline, invalidResumeAfter}: CallMetadata,
  {streaming}: Route,
): Refusal | undefined {
  if (invalidDeadline !== undefined) {
    const message = `the deadline "${quote(invalidDeadline)}" is not a number of milliseconds`;
    return createNotRunRefusal(400, 'invalid_deadline', message);
  }
  if (streaming && invalidResumeAfter !== undefined) {
    const message = `the last event "${quote(invalidResumeAfter)}" is not a number from 0 to ${Number.MAX_SAFE_INTEGER}`;
    return createNotRunRefusal(400, 'invalid_last_event', message);
  }
  return undefined;
}

function quote(value: string): string {
  return value.slice(0, MAX_QUOTED_LENGTH);
}

function createFullRefusal(failure?: BodyFailure): Refusal {
  return new Refusal(
    'not-run',
    503,
    'entry_full',
    failure?.message ?? 'the entry lacks the memory for another call',
    failure?.retryAfterSeconds ?? FULL_RETRY_AFTER_SECONDS,
  );
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
