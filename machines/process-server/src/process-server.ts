import type http from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {CallContext} from '@marigoldspur/access';
import {closeServer, listen, type Address} from '@marigoldspur/http-link';
import type {LinkSecurity} from '@marigoldspur/link-security';
import type {ProcessMetrics} from '@marigoldspur/metrics';
import {processRouter, type ProcessService} from '@marigoldspur/process-api';

/** Handles requests that no page of the process server answers. */
type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/** What a process server offers. */
export interface ProcessServerOptions {
  readonly address: Address;
  readonly security: LinkSecurity;
  readonly service: ProcessService;
  readonly metrics: ProcessMetrics;
  /** Whether the process takes new work. */
  readonly ready: () => boolean;
  /**
   * Further tRPC routers by the first segment of their path below `/trpc/`. Those of
   * `control` check each call; all others serve only processes of the system.
   */
  readonly routers?: Readonly<Record<string, AnyRouter>>;
  /** Handlers of single paths, for processes of the system only. */
  readonly paths?: ReadonlyMap<string, Handler>;
  /** Takes every other request, from processes of the system only. */
  readonly fallback?: Handler;
  /**
   * Takes requests with `Expect: 100-continue` in place of `fallback`, before their
   * body is sent; it calls `writeContinue` or answers at once. By default each is
   * continued and goes to `fallback`.
   */
  readonly checkContinue?: Handler;
}

/** A listening process server. */
export interface ProcessServer {
  readonly url: string;
  /** Stops accepting and waits until each connection has ended. */
  close(): Promise<void>;
}

/** Routers whose procedures check their callers themselves. */
const SELF_CHECKING_PATHS = new Set(['/trpc/process/', '/trpc/control/']);
const MAX_TRPC_BODY_BYTES = 33_554_432;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Serves `/healthz`, `/readyz`, `/metrics` and the tRPC routers of a process. */
export async function startProcessServer(
  options: ProcessServerOptions,
): Promise<ProcessServer> {
  const routers = {process: processRouter(options.service), ...options.routers};
  const handlers = new Map<string, Handler>();
  for (const [name, router] of Object.entries(routers)) {
    const basePath = `/trpc/${name}/`;
    handlers.set(basePath, trpcHandler(basePath, router, options.security));
  }
  const server = options.security.createServer({}, (request, response) => {
    const path = (request.url ?? '/').split('?', 1)[0];
    for (const [prefix, handler] of handlers) {
      if (path.startsWith(prefix)) {
        handler(request, response);
        return;
      }
    }
    void answerPage(path, options, request, response);
  });
  const {checkContinue} = options;
  if (checkContinue !== undefined) {
    server.on(
      'checkContinue',
      (request: http.IncomingMessage, response: http.ServerResponse) =>
        isProcess(options.security, request)
          ? checkContinue(request, response)
          : forbid(response),
    );
  }
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.requestTimeout = 0;
  const address = await listen(server, options.address);
  return {
    url: `${options.security.scheme}://${address.host}:${address.port}`,
    close: () => closeServer(server),
  };
}

function trpcHandler(
  basePath: string,
  router: AnyRouter,
  security: LinkSecurity,
): Handler {
  const handler = createHTTPHandler({
    router,
    basePath,
    maxBodySize: MAX_TRPC_BODY_BYTES,
    createContext: ({req}): CallContext => ({caller: security.callerOf(req)}),
  });
  if (SELF_CHECKING_PATHS.has(basePath)) {
    return handler;
  }
  return (request, response) =>
    isProcess(security, request)
      ? handler(request, response)
      : forbid(response);
}

async function answerPage(
  path: string,
  options: ProcessServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  switch (path) {
    case '/healthz':
      response.end('ok\n');
      return;
    case '/readyz':
      response.statusCode = options.ready() ? 200 : 503;
      response.end(options.ready() ? 'ready\n' : 'not ready\n');
      return;
    case '/metrics':
      response.setHeader('content-type', options.metrics.registry.contentType);
      response.end(await options.metrics.registry.metrics());
      return;
    default:
      answerOther(path, options, request, response);
  }
}

function answerOther(
  path: string,
  options: ProcessServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const handler = options.paths?.get(path) ?? options.fallback;
  if (handler === undefined) {
    response.statusCode = 404;
    response.end('not found\n');
    return;
  }
  if (!isProcess(options.security, request)) {
    forbid(response);
    return;
  }
  handler(request, response);
}

function isProcess(
  security: LinkSecurity,
  request: http.IncomingMessage,
): boolean {
  return security.callerOf(request).kind === 'process';
}

function forbid(response: http.ServerResponse): void {
  response.statusCode = 403;
  response.setHeader('connection', 'close');
  response.end('only processes of the system may call this\n');
}
