import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {BoundedSignal, disconnectSignal} from '@marigoldspur/bounded-signal';
import {
  DEFAULT_MAX_BODY_BYTES,
  type Route,
  type Service,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal, toFault} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {chooseBackend, type RouteTable} from '@marigoldspur/routes';
import type {CallRunner} from './call-runner.js';
import type {CallMetadata, WireFormat} from './wire-format.js';
import type {DirectMetrics} from './direct-metrics.js';

/** What a call desk works with. */
export interface CallHandlerOptions {
  /** The routes in force; undefined before a deployment is known. */
  readonly routes: () => RouteTable | undefined;
  /** Whether there is time left to serve a call that comes now. */
  readonly acceptsCalls: () => boolean;
  readonly dialect: WireFormat;
  readonly runner: CallRunner;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
}

interface Destination {
  readonly route: Route;
  readonly service: Service;
}

/** After a start the deployment is known within a second. */
const NOT_READY_RETRY_SECONDS = 1;

/** Another entry serves the caller at once, in seconds. */
const ANOTHER_ENTRY_SECONDS = 0.05;

/** Serves callers' calls, from the route to the whole answer or a refusal. */
export class CallHandler {
  private count = 0;

  constructor(private readonly options: CallHandlerOptions) {}

  /** Calls that run or wait now. */
  get runningCount(): number {
    return this.count;
  }

  /** Serves one call. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAt = performance.now();
    const head = this.options.dialect.parseCallHeaders(request.headers);
    this.options.metrics.setRunning((this.count += 1));
    response.sendDate = false;
    try {
      const refusal = await this.serve(head, startedAt, request, response);
      if (refusal !== undefined) {
        this.refuse(response, head, refusal);
      }
    } catch (thrown) {
      const {message} = toFault(thrown);
      this.options.events.record('request-error', {message}, head.id);
      this.refuse(response, head, internalError());
    } finally {
      this.options.metrics.setRunning((this.count -= 1));
    }
  }

  /** Serves a call, or gives the refusal that is left to be sent. */
  private async serve(
    head: CallMetadata,
    startedAt: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Refusal | undefined> {
    const gone = disconnectSignal(response);
    const found = this.destination(head, request);
    if (found.isErr) {
      request.resume();
      return found.error;
    }
    const {route, service} = found.value;
    const body = await readBody(request, this.maxBodyBytes());
    if (body.isErr) {
      response.setHeader('connection', 'close');
      return body.error.code === 'TOO_LARGE'
        ? rejected(413, 'body_too_large', body.error.message)
        : rejected(400, 'body_broke_off', body.error.message);
    }
    const bounded = new BoundedSignal({
      timeoutMs: route.timeoutMs - (performance.now() - startedAt),
      parentSignals: [gone],
    });
    const call = {
      head,
      startedAt,
      route,
      service,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      body: body.value,
      signal: bounded.signal,
      callerGone: () => gone.aborted,
    };
    const ended = await this.options.runner
      .run(call, response)
      .finally(() => bounded.dispose());
    return ended.isErr ? ended.error : undefined;
  }

  private destination(
    head: CallMetadata,
    request: IncomingMessage,
  ): Result<Destination, Refusal> {
    const routes = this.options.routes();
    if (routes === undefined) {
      return Result.err(notReady());
    }
    if (!this.options.acceptsCalls()) {
      return Result.err(shuttingDown());
    }
    const {headers, url = '/'} = request;
    const route = routes.findRoute(headers.host ?? '', url);
    if (route === undefined) {
      const message = `no route for host "${headers.host}" and path "${url}"`;
      return Result.err(rejected(404, 'unknown_route', message));
    }
    const service = routes.service(chooseBackend(route, head.id));
    return service === undefined
      ? Result.err(notReady())
      : Result.ok({route, service});
  }

  private maxBodyBytes(): number {
    const limits = this.options.routes()?.deployment.limits;
    return limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  private refuse(
    response: ServerResponse,
    head: CallMetadata,
    refusal: Refusal,
  ): void {
    const {message, outcome, reason, status} = refusal;
    const isGone = response.destroyed;
    const details = {reason, message, outcome, status, callerGone: isGone};
    this.options.events.record('call-refused', details, head.id);
    this.options.metrics.recordRefusal(reason);
    if (isGone || response.headersSent) {
      response.destroy();
      return;
    }
    const body = JSON.stringify({error: {message, reason, outcome}});
    response.writeHead(status, {
      ...this.options.dialect.refusalHeaders(head.id, refusal),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

function rejected(status: number, reason: string, message: string): Refusal {
  return new Refusal('not-run', status, reason, message);
}

function notReady(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'not_ready',
    'the entry does not know the deployment yet',
    NOT_READY_RETRY_SECONDS,
  );
}

function shuttingDown(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'shutting_down',
    'the entry ends',
    ANOTHER_ENTRY_SECONDS,
  );
}

function internalError(): Refusal {
  return new Refusal('unknown', 500, 'internal_error', 'the entry failed');
}
