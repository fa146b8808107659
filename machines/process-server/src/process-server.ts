import type http from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {CallContext} from '@marigoldspur/access';
import {guard} from '@marigoldspur/fault-guard';
import type {Fault} from '@marigoldspur/faults';
import {closeServer, onResponseEnd} from '@marigoldspur/http-link';
import type {LinkSecurity} from '@marigoldspur/link-security';
import type {MemoryBudget} from '@marigoldspur/memory-budget';
import type {ProcessMetrics} from '@marigoldspur/metrics';
import {discardRest} from '@marigoldspur/request-bodies';
import {
  createProcessRouter,
  type ProcessService,
} from '@marigoldspur/process-api';
import type {ProcessPort} from './process-port.js';

/** Handles requests that the process server does not answer itself; may return a promise. */
type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => unknown;

/** Options of a process server. */
export interface ProcessServerOptions {
  readonly port: ProcessPort;
  readonly security: LinkSecurity;
  readonly service: ProcessService;
  readonly metrics: ProcessMetrics;
  /** Limits the memory for the bodies of tRPC calls; no limit if absent. */
  readonly memory?: Pick<MemoryBudget, 'reserve'>;
  /** Called with an unexpected error of a request, whose connection was closed. */
  readonly onFault: (fault: Fault) => void;
  /** Whether the process takes new work. */
  readonly isReady: () => boolean;
  /**
   * Further tRPC routers by the first segment of their path below `/trpc/`. Those of
   * `control` check each call; all others serve only processes of the system.
   */
  readonly routers?: Readonly<Record<string, AnyRouter>>;
  /** Handlers by exact path, for processes of the system only. */
  readonly paths?: ReadonlyMap<string, Handler>;
  /** Handles every other request, from processes of the system only. */
  readonly fallback?: Handler;
  /**
   * Handles requests with `Expect: 100-continue` in place of `fallback`, before their
   * body is sent; it calls `writeContinue` or responds immediately. By default these requests
   * are continued and passed to `fallback`.
   */
  readonly checkContinue?: Handler;
}

/** A listening process server. */
export interface ProcessServer {
  readonly url: string;
  /** Stops accepting connections and waits until all open ones have closed. */
  close(): Promise<void>;
}

/** Paths of the routers whose procedures check the access of their callers themselves. */
const SELF_CHECKING_PATHS = new Set(['/trpc/process/', '/trpc/control/']);
const MAX_TRPC_BODY_BYTES = 33_554_432;
/** Time in which the body of a tRPC call must be complete, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;
const RETRY_AFTER_SECONDS = 1;

/** Serves `/healthz`, `/readyz`, `/metrics` and the tRPC routers of a process. */
export function startProcessServer(
  options: ProcessServerOptions,
): ProcessServer {
  const routers = {
    process: createProcessRouter(options.service),
    ...options.routers,
  };
  const handlers = new Map<string, Handler>();
  for (const [name, router] of Object.entries(routers)) {
    const basePath = `/trpc/${name}/`;
    handlers.set(basePath, createTrpcHandler(basePath, router, options));
  }
  const guardRequest =
    (handler: Handler): Handler =>
    (request, response) =>
      guard(handler, {
        onFault: fault => {
          response.destroy();
          options.onFault(fault);
        },
      })(request, response);
  const {address, server} = options.port;
  options.port.serve(
    guardRequest((request, response) => {
      const path = (request.url ?? '/').split('?', 1)[0];
      for (const [prefix, handler] of handlers) {
        if (path.startsWith(prefix)) {
          return handler(request, response);
        }
      }
      return handleRequest(path, options, request, response);
    }),
  );
  const {checkContinue} = options;
  if (checkContinue !== undefined) {
    server.on(
      'checkContinue',
      guardRequest((request, response) =>
        isProcess(options.security, request)
          ? checkContinue(request, response)
          : sendForbidden(response),
      ),
    );
  }
  return {
    url: `${options.security.scheme}://${address.host}:${address.port}`,
    close: () => closeServer(server),
  };
}

function createTrpcHandler(
  basePath: string,
  router: AnyRouter,
  {memory, security}: ProcessServerOptions,
): Handler {
  const trpc = createHTTPHandler({
    router,
    basePath,
    maxBodySize: MAX_TRPC_BODY_BYTES,
    createContext: ({req}): CallContext => ({caller: security.callerOf(req)}),
  });
  const handler: Handler = (request, response) =>
    memory === undefined || reserveBody(memory, request, response)
      ? trpc(request, response)
      : refuseForMemory(request, response);
  if (SELF_CHECKING_PATHS.has(basePath)) {
    return handler;
  }
  return (request, response) =>
    isProcess(security, request)
      ? handler(request, response)
      : sendForbidden(response);
}

/**
 * Reserves the memory for the body of a tRPC call until its response has ended; false if there is
 * not enough. The router buffers a body even after it has answered, so the rest is then dropped. A
 * body that is not complete in time closes its connection.
 */
function reserveBody(
  memory: Pick<MemoryBudget, 'reserve'>,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): boolean {
  const {headers} = request;
  const bytes =
    headers['transfer-encoding'] === undefined
      ? Number(headers['content-length'] ?? 0)
      : MAX_TRPC_BODY_BYTES;
  const reservation = memory.reserve(
    'message',
    Math.min(bytes, MAX_TRPC_BODY_BYTES),
  );
  if (reservation === undefined) {
    return false;
  }
  const timer = setTimeout(() => {
    if (!request.complete) {
      request.destroy();
    }
  }, BODY_TIMEOUT_MS);
  onResponseEnd(response, () => {
    clearTimeout(timer);
    reservation.release();
    discardRest(request, true);
  });
  return true;
}

function refuseForMemory(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.statusCode = 503;
  response.setHeader('retry-after', RETRY_AFTER_SECONDS);
  response.end('the process lacks the memory for another call\n');
  discardRest(request, true);
}

async function handleRequest(
  path: string,
  options: ProcessServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  switch (path) {
    case '/healthz':
      discardRest(request, true);
      response.end('ok\n');
      return;
    case '/readyz':
      discardRest(request, true);
      response.statusCode = options.isReady() ? 200 : 503;
      response.end(options.isReady() ? 'ready\n' : 'not ready\n');
      return;
    case '/metrics':
      discardRest(request, true);
      response.setHeader('content-type', options.metrics.registry.contentType);
      response.end(await options.metrics.registry.metrics());
      return;
    default:
      await handleOther(path, options, request, response);
  }
}

async function handleOther(
  path: string,
  options: ProcessServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const handler = options.paths?.get(path) ?? options.fallback;
  if (handler === undefined) {
    discardRest(request, true);
    response.statusCode = 404;
    response.end('not found\n');
    return;
  }
  if (!isProcess(options.security, request)) {
    sendForbidden(response);
    return;
  }
  await handler(request, response);
}

function isProcess(
  security: LinkSecurity,
  request: http.IncomingMessage,
): boolean {
  return security.callerOf(request).kind === 'process';
}

function sendForbidden(response: http.ServerResponse): void {
  response.statusCode = 403;
  response.setHeader('connection', 'close');
  response.end('only processes of the system may call this\n');
}
