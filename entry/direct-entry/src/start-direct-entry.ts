import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {CallerServer} from '@marigoldspur/caller-server';
import type {Deployment} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {FleetFollower} from '@marigoldspur/fleet-client';
import type {FleetChange, FleetView} from '@marigoldspur/fleet-view';
import {listen, type Address} from '@marigoldspur/http-link';
import type {Task} from '@marigoldspur/process-life';
import {ProcessRuntime} from '@marigoldspur/process-shell';
import type {RouteTable} from '@marigoldspur/routes';
import {AdapterAgentClient} from './adapter-agent-client.js';
import {AdapterPreparer} from './adapter-preparer.js';
import {AttemptSender} from './attempt-sender.js';
import {CallHandler} from './call-handler.js';
import {CallRunner} from './call-runner.js';
import type {WireFormat} from './wire-format.js';
import {DirectMetrics} from './direct-metrics.js';
import type {DirectSettings} from './direct-settings.js';
import {EngineViewClient} from './engine-view-client.js';
import {ActiveRoutes} from './active-routes.js';
import {RetryLimiter} from './retry-limiter.js';
import {TargetSelector} from './target-selector.js';
import {TargetClient} from './target-client.js';
import {TargetFinder} from './target-finder.js';

/** An entry that runs. */
export interface DirectEntry extends Task {
  readonly events: EventLog;
  /** Takes over other base URLs at which replicas of control may be found first. */
  setSeedUrls(urls: readonly string[]): void;
}

/** What callers may do before a deployment states it. */
const START_LIMITS = {
  headersTimeoutMs: 3_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 15_000,
};
/** Largest head of a request that is read before a deployment states a limit, in bytes. */
const MAX_HEADER_BYTES = 65_536;
/** The balancer asks each second and takes two misses as a sign to leave, in milliseconds. */
const SETTLE_MS = 2_500;
/** Time that is left for the process to end by itself, in milliseconds. */
const END_MARGIN_MS = 400;

/** Starts an entry that sends calls straight to targets. */
export async function startDirectEntry(
  settings: DirectSettings,
  dialect: WireFormat,
  drain: () => void,
): Promise<DirectEntry> {
  const shell = await ProcessRuntime.open('entry', settings);
  const {events, security} = shell;
  const routes = new ActiveRoutes(dialect, events);
  const agent = security.createAgent();
  const onChange = (change: FleetChange) => {
    routes.applyChange(change, follower.view);
    if (routes.table !== undefined) {
      callers.setLimits(limitsOf(routes.table.deployment));
    }
    if (change.targets || change.deployment) {
      views.follow(engineAddresses(routes.table, follower.view));
      book.forgetUnknownTargets();
    }
  };
  const follower = new FleetFollower({
    seeds: settings.control,
    agent,
    events,
    onChange,
  });
  const agentUrl = (address: string) =>
    `${security.scheme}://${address.split(':')[0]}:${settings.agentPort}`;
  const views = new EngineViewClient({
    agent,
    agentUrl,
    onView: (address, view) => book.recordEngineView(address, view),
  });
  const adapters = new AdapterAgentClient({
    entry: settings.id,
    agent,
    agentUrl,
  });
  const client = new TargetClient(dialect);
  const metrics = new DirectMetrics(shell.metrics.registry);
  const book = new TargetSelector({
    zone: settings.zone,
    targets: () => follower.view.targets(),
    engineView: address => views.viewOf(address),
    random: Math.random,
  });
  const finder = new TargetFinder({
    fleetView: follower.view,
    book,
    adapterPreparer: new AdapterPreparer({
      book,
      adapters,
      events,
      metrics,
      isAgentReachable: (address, now) => views.isAgentReachable(address, now),
    }),
    random: Math.random,
  });
  let takesCalls = true;
  const isReady = () =>
    !shell.isDraining && follower.isConfirmed && routes.table !== undefined;
  const desk = new CallHandler({
    routes: () => routes.table,
    acceptsCalls: () => takesCalls,
    dialect,
    runner: new CallRunner({
      finder,
      sender: new AttemptSender({
        finder,
        book,
        client,
        adapters,
        dialect,
        events,
        metrics,
      }),
      retryLimiter: new RetryLimiter({
        allowance: settings.retries,
        entries: () => follower.view.entries,
      }),
      events,
      metrics,
    }),
    events,
    metrics,
  });
  const callers = new CallerServer({
    handle: (request, response) => desk.handle(request, response),
    isDraining: () => shell.isDraining,
    createServer: http.createServer,
    limits: {...START_LIMITS, maxHeaderBytes: MAX_HEADER_BYTES},
  });
  await listen(callers.server, addressOf(settings.callers));
  const readiness = readinessServer(dialect.readinessPath, isReady);
  await listen(readiness, addressOf(settings.readiness));
  const url = await shell.serve({
    revision: () => routes.table?.deployment.revision ?? 0,
    isReady,
    facts: () => ({
      running: desk.runningCount,
      followed: follower.followedCount,
      targets: follower.view.targets().length,
    }),
    drain,
  });
  events.record('process-started', {url, callers: settings.callers});
  return {
    events,
    setSeedUrls: urls => follower.setSeedUrls(urls),
    async stop() {
      const endAt = performance.now() + settings.graceMs - END_MARGIN_MS;
      shell.beginDrain();
      await pause(Math.min(SETTLE_MS, settings.graceMs / 2));
      takesCalls = false;
      const leftMs = Math.max(0, endAt - performance.now());
      await Promise.race([callers.close(), pause(leftMs)]);
      if (desk.runningCount > 0) {
        events.record('shutdown-bound-reached', {running: desk.runningCount});
      }
      follower.stop();
      views.stop();
      adapters.stop();
      client.close();
      readiness.close();
      shell.stop();
    },
  };
}

function limitsOf({limits}: Deployment) {
  return {
    headersTimeoutMs: limits.headerTimeoutMs,
    requestTimeoutMs: limits.headerTimeoutMs + limits.idleTimeoutMs,
    idleTimeoutMs: limits.idleTimeoutMs,
  };
}

/** Addresses of the targets that are model engines. */
function engineAddresses(
  routes: RouteTable | undefined,
  view: FleetView,
): ReadonlySet<string> {
  const engines = view
    .targets()
    .filter(({service}) => routes?.service(service)?.engine !== undefined);
  return new Set(engines.map(({address}) => address));
}

function readinessServer(readyPath: string, isReady: () => boolean) {
  return http.createServer((request, response) => {
    const known = request.url === readyPath;
    response.statusCode = known ? (isReady() ? 200 : 503) : 404;
    response.end();
  });
}

function addressOf(text: string): Address {
  const [host, port] = text.split(':');
  return {host, port: Number(port)};
}
